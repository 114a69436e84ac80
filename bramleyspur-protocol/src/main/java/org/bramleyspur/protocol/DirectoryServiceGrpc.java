package org.bramleyspur.protocol;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class DirectoryServiceGrpc {

  private DirectoryServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "bramleyspur.DirectoryService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.bramleyspur.protocol.DirectoryRequest,
      org.bramleyspur.protocol.DirectoryEvent> getWatchMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Watch",
      requestType = org.bramleyspur.protocol.DirectoryRequest.class,
      responseType = org.bramleyspur.protocol.DirectoryEvent.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<org.bramleyspur.protocol.DirectoryRequest,
      org.bramleyspur.protocol.DirectoryEvent> getWatchMethod() {
    io.grpc.MethodDescriptor<org.bramleyspur.protocol.DirectoryRequest, org.bramleyspur.protocol.DirectoryEvent> getWatchMethod;
    if ((getWatchMethod = DirectoryServiceGrpc.getWatchMethod) == null) {
      synchronized (DirectoryServiceGrpc.class) {
        if ((getWatchMethod = DirectoryServiceGrpc.getWatchMethod) == null) {
          DirectoryServiceGrpc.getWatchMethod = getWatchMethod =
              io.grpc.MethodDescriptor.<org.bramleyspur.protocol.DirectoryRequest, org.bramleyspur.protocol.DirectoryEvent>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Watch"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.DirectoryRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.DirectoryEvent.getDefaultInstance()))
              .setSchemaDescriptor(new DirectoryServiceMethodDescriptorSupplier("Watch"))
              .build();
        }
      }
    }
    return getWatchMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.bramleyspur.protocol.AdmissionRequest,
      org.bramleyspur.protocol.AdmissionReply> getAdmitMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Admit",
      requestType = org.bramleyspur.protocol.AdmissionRequest.class,
      responseType = org.bramleyspur.protocol.AdmissionReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.bramleyspur.protocol.AdmissionRequest,
      org.bramleyspur.protocol.AdmissionReply> getAdmitMethod() {
    io.grpc.MethodDescriptor<org.bramleyspur.protocol.AdmissionRequest, org.bramleyspur.protocol.AdmissionReply> getAdmitMethod;
    if ((getAdmitMethod = DirectoryServiceGrpc.getAdmitMethod) == null) {
      synchronized (DirectoryServiceGrpc.class) {
        if ((getAdmitMethod = DirectoryServiceGrpc.getAdmitMethod) == null) {
          DirectoryServiceGrpc.getAdmitMethod = getAdmitMethod =
              io.grpc.MethodDescriptor.<org.bramleyspur.protocol.AdmissionRequest, org.bramleyspur.protocol.AdmissionReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Admit"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.AdmissionRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.AdmissionReply.getDefaultInstance()))
              .setSchemaDescriptor(new DirectoryServiceMethodDescriptorSupplier("Admit"))
              .build();
        }
      }
    }
    return getAdmitMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static DirectoryServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<DirectoryServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<DirectoryServiceStub>() {
        @java.lang.Override
        public DirectoryServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new DirectoryServiceStub(channel, callOptions);
        }
      };
    return DirectoryServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static DirectoryServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<DirectoryServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<DirectoryServiceBlockingV2Stub>() {
        @java.lang.Override
        public DirectoryServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new DirectoryServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return DirectoryServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static DirectoryServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<DirectoryServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<DirectoryServiceBlockingStub>() {
        @java.lang.Override
        public DirectoryServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new DirectoryServiceBlockingStub(channel, callOptions);
        }
      };
    return DirectoryServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static DirectoryServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<DirectoryServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<DirectoryServiceFutureStub>() {
        @java.lang.Override
        public DirectoryServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new DirectoryServiceFutureStub(channel, callOptions);
        }
      };
    return DirectoryServiceFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     */
    default io.grpc.stub.StreamObserver<org.bramleyspur.protocol.DirectoryRequest> watch(
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.DirectoryEvent> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getWatchMethod(), responseObserver);
    }

    /**
     */
    default void admit(org.bramleyspur.protocol.AdmissionRequest request,
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.AdmissionReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getAdmitMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service DirectoryService.
   */
  public static abstract class DirectoryServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return DirectoryServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service DirectoryService.
   */
  public static final class DirectoryServiceStub
      extends io.grpc.stub.AbstractAsyncStub<DirectoryServiceStub> {
    private DirectoryServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected DirectoryServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new DirectoryServiceStub(channel, callOptions);
    }

    /**
     */
    public io.grpc.stub.StreamObserver<org.bramleyspur.protocol.DirectoryRequest> watch(
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.DirectoryEvent> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getWatchMethod(), getCallOptions()), responseObserver);
    }

    /**
     */
    public void admit(org.bramleyspur.protocol.AdmissionRequest request,
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.AdmissionReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getAdmitMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service DirectoryService.
   */
  public static final class DirectoryServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<DirectoryServiceBlockingV2Stub> {
    private DirectoryServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected DirectoryServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new DirectoryServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<org.bramleyspur.protocol.DirectoryRequest, org.bramleyspur.protocol.DirectoryEvent>
        watch() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getWatchMethod(), getCallOptions());
    }

    /**
     */
    public org.bramleyspur.protocol.AdmissionReply admit(org.bramleyspur.protocol.AdmissionRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getAdmitMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service DirectoryService.
   */
  public static final class DirectoryServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<DirectoryServiceBlockingStub> {
    private DirectoryServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected DirectoryServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new DirectoryServiceBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.bramleyspur.protocol.AdmissionReply admit(org.bramleyspur.protocol.AdmissionRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getAdmitMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service DirectoryService.
   */
  public static final class DirectoryServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<DirectoryServiceFutureStub> {
    private DirectoryServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected DirectoryServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new DirectoryServiceFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.bramleyspur.protocol.AdmissionReply> admit(
        org.bramleyspur.protocol.AdmissionRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getAdmitMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_ADMIT = 0;
  private static final int METHODID_WATCH = 1;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_ADMIT:
          serviceImpl.admit((org.bramleyspur.protocol.AdmissionRequest) request,
              (io.grpc.stub.StreamObserver<org.bramleyspur.protocol.AdmissionReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_WATCH:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.watch(
              (io.grpc.stub.StreamObserver<org.bramleyspur.protocol.DirectoryEvent>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getWatchMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              org.bramleyspur.protocol.DirectoryRequest,
              org.bramleyspur.protocol.DirectoryEvent>(
                service, METHODID_WATCH)))
        .addMethod(
          getAdmitMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.bramleyspur.protocol.AdmissionRequest,
              org.bramleyspur.protocol.AdmissionReply>(
                service, METHODID_ADMIT)))
        .build();
  }

  private static abstract class DirectoryServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    DirectoryServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.bramleyspur.protocol.DirectoryProto.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("DirectoryService");
    }
  }

  private static final class DirectoryServiceFileDescriptorSupplier
      extends DirectoryServiceBaseDescriptorSupplier {
    DirectoryServiceFileDescriptorSupplier() {}
  }

  private static final class DirectoryServiceMethodDescriptorSupplier
      extends DirectoryServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    DirectoryServiceMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (DirectoryServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new DirectoryServiceFileDescriptorSupplier())
              .addMethod(getWatchMethod())
              .addMethod(getAdmitMethod())
              .build();
        }
      }
    }
    return result;
  }
}
