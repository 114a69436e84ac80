package org.bramleyspur.protocol;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class ControlServiceGrpc {

  private ControlServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "bramleyspur.ControlService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.bramleyspur.protocol.SessionUp,
      org.bramleyspur.protocol.SessionDown> getSessionMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Session",
      requestType = org.bramleyspur.protocol.SessionUp.class,
      responseType = org.bramleyspur.protocol.SessionDown.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<org.bramleyspur.protocol.SessionUp,
      org.bramleyspur.protocol.SessionDown> getSessionMethod() {
    io.grpc.MethodDescriptor<org.bramleyspur.protocol.SessionUp, org.bramleyspur.protocol.SessionDown> getSessionMethod;
    if ((getSessionMethod = ControlServiceGrpc.getSessionMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getSessionMethod = ControlServiceGrpc.getSessionMethod) == null) {
          ControlServiceGrpc.getSessionMethod = getSessionMethod =
              io.grpc.MethodDescriptor.<org.bramleyspur.protocol.SessionUp, org.bramleyspur.protocol.SessionDown>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Session"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.SessionUp.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.SessionDown.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("Session"))
              .build();
        }
      }
    }
    return getSessionMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.bramleyspur.protocol.ClaimRequest,
      org.bramleyspur.protocol.ClaimReply> getClaimMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Claim",
      requestType = org.bramleyspur.protocol.ClaimRequest.class,
      responseType = org.bramleyspur.protocol.ClaimReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.bramleyspur.protocol.ClaimRequest,
      org.bramleyspur.protocol.ClaimReply> getClaimMethod() {
    io.grpc.MethodDescriptor<org.bramleyspur.protocol.ClaimRequest, org.bramleyspur.protocol.ClaimReply> getClaimMethod;
    if ((getClaimMethod = ControlServiceGrpc.getClaimMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getClaimMethod = ControlServiceGrpc.getClaimMethod) == null) {
          ControlServiceGrpc.getClaimMethod = getClaimMethod =
              io.grpc.MethodDescriptor.<org.bramleyspur.protocol.ClaimRequest, org.bramleyspur.protocol.ClaimReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Claim"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.ClaimRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.ClaimReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("Claim"))
              .build();
        }
      }
    }
    return getClaimMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.bramleyspur.protocol.CompleteRequest,
      org.bramleyspur.protocol.CompleteReply> getCompleteMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Complete",
      requestType = org.bramleyspur.protocol.CompleteRequest.class,
      responseType = org.bramleyspur.protocol.CompleteReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.bramleyspur.protocol.CompleteRequest,
      org.bramleyspur.protocol.CompleteReply> getCompleteMethod() {
    io.grpc.MethodDescriptor<org.bramleyspur.protocol.CompleteRequest, org.bramleyspur.protocol.CompleteReply> getCompleteMethod;
    if ((getCompleteMethod = ControlServiceGrpc.getCompleteMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getCompleteMethod = ControlServiceGrpc.getCompleteMethod) == null) {
          ControlServiceGrpc.getCompleteMethod = getCompleteMethod =
              io.grpc.MethodDescriptor.<org.bramleyspur.protocol.CompleteRequest, org.bramleyspur.protocol.CompleteReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Complete"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.CompleteRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.CompleteReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("Complete"))
              .build();
        }
      }
    }
    return getCompleteMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.bramleyspur.protocol.SubmitRequest,
      org.bramleyspur.protocol.SubmitReply> getSubmitMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Submit",
      requestType = org.bramleyspur.protocol.SubmitRequest.class,
      responseType = org.bramleyspur.protocol.SubmitReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.bramleyspur.protocol.SubmitRequest,
      org.bramleyspur.protocol.SubmitReply> getSubmitMethod() {
    io.grpc.MethodDescriptor<org.bramleyspur.protocol.SubmitRequest, org.bramleyspur.protocol.SubmitReply> getSubmitMethod;
    if ((getSubmitMethod = ControlServiceGrpc.getSubmitMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getSubmitMethod = ControlServiceGrpc.getSubmitMethod) == null) {
          ControlServiceGrpc.getSubmitMethod = getSubmitMethod =
              io.grpc.MethodDescriptor.<org.bramleyspur.protocol.SubmitRequest, org.bramleyspur.protocol.SubmitReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Submit"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.SubmitRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.SubmitReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("Submit"))
              .build();
        }
      }
    }
    return getSubmitMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.bramleyspur.protocol.QueryRequest,
      org.bramleyspur.protocol.QueryReply> getQueryMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Query",
      requestType = org.bramleyspur.protocol.QueryRequest.class,
      responseType = org.bramleyspur.protocol.QueryReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.bramleyspur.protocol.QueryRequest,
      org.bramleyspur.protocol.QueryReply> getQueryMethod() {
    io.grpc.MethodDescriptor<org.bramleyspur.protocol.QueryRequest, org.bramleyspur.protocol.QueryReply> getQueryMethod;
    if ((getQueryMethod = ControlServiceGrpc.getQueryMethod) == null) {
      synchronized (ControlServiceGrpc.class) {
        if ((getQueryMethod = ControlServiceGrpc.getQueryMethod) == null) {
          ControlServiceGrpc.getQueryMethod = getQueryMethod =
              io.grpc.MethodDescriptor.<org.bramleyspur.protocol.QueryRequest, org.bramleyspur.protocol.QueryReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Query"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.QueryRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.QueryReply.getDefaultInstance()))
              .setSchemaDescriptor(new ControlServiceMethodDescriptorSupplier("Query"))
              .build();
        }
      }
    }
    return getQueryMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static ControlServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ControlServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ControlServiceStub>() {
        @java.lang.Override
        public ControlServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ControlServiceStub(channel, callOptions);
        }
      };
    return ControlServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static ControlServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ControlServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ControlServiceBlockingV2Stub>() {
        @java.lang.Override
        public ControlServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ControlServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return ControlServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static ControlServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ControlServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ControlServiceBlockingStub>() {
        @java.lang.Override
        public ControlServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ControlServiceBlockingStub(channel, callOptions);
        }
      };
    return ControlServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static ControlServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ControlServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ControlServiceFutureStub>() {
        @java.lang.Override
        public ControlServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ControlServiceFutureStub(channel, callOptions);
        }
      };
    return ControlServiceFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     */
    default io.grpc.stub.StreamObserver<org.bramleyspur.protocol.SessionUp> session(
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.SessionDown> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getSessionMethod(), responseObserver);
    }

    /**
     */
    default void claim(org.bramleyspur.protocol.ClaimRequest request,
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.ClaimReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getClaimMethod(), responseObserver);
    }

    /**
     */
    default void complete(org.bramleyspur.protocol.CompleteRequest request,
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.CompleteReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getCompleteMethod(), responseObserver);
    }

    /**
     */
    default void submit(org.bramleyspur.protocol.SubmitRequest request,
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.SubmitReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSubmitMethod(), responseObserver);
    }

    /**
     */
    default void query(org.bramleyspur.protocol.QueryRequest request,
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.QueryReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getQueryMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service ControlService.
   */
  public static abstract class ControlServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return ControlServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service ControlService.
   */
  public static final class ControlServiceStub
      extends io.grpc.stub.AbstractAsyncStub<ControlServiceStub> {
    private ControlServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ControlServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ControlServiceStub(channel, callOptions);
    }

    /**
     */
    public io.grpc.stub.StreamObserver<org.bramleyspur.protocol.SessionUp> session(
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.SessionDown> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getSessionMethod(), getCallOptions()), responseObserver);
    }

    /**
     */
    public void claim(org.bramleyspur.protocol.ClaimRequest request,
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.ClaimReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getClaimMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void complete(org.bramleyspur.protocol.CompleteRequest request,
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.CompleteReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getCompleteMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void submit(org.bramleyspur.protocol.SubmitRequest request,
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.SubmitReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSubmitMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void query(org.bramleyspur.protocol.QueryRequest request,
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.QueryReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getQueryMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service ControlService.
   */
  public static final class ControlServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<ControlServiceBlockingV2Stub> {
    private ControlServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ControlServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ControlServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<org.bramleyspur.protocol.SessionUp, org.bramleyspur.protocol.SessionDown>
        session() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getSessionMethod(), getCallOptions());
    }

    /**
     */
    public org.bramleyspur.protocol.ClaimReply claim(org.bramleyspur.protocol.ClaimRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getClaimMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.bramleyspur.protocol.CompleteReply complete(org.bramleyspur.protocol.CompleteRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getCompleteMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.bramleyspur.protocol.SubmitReply submit(org.bramleyspur.protocol.SubmitRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getSubmitMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.bramleyspur.protocol.QueryReply query(org.bramleyspur.protocol.QueryRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getQueryMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service ControlService.
   */
  public static final class ControlServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<ControlServiceBlockingStub> {
    private ControlServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ControlServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ControlServiceBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.bramleyspur.protocol.ClaimReply claim(org.bramleyspur.protocol.ClaimRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getClaimMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.bramleyspur.protocol.CompleteReply complete(org.bramleyspur.protocol.CompleteRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getCompleteMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.bramleyspur.protocol.SubmitReply submit(org.bramleyspur.protocol.SubmitRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSubmitMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.bramleyspur.protocol.QueryReply query(org.bramleyspur.protocol.QueryRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getQueryMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service ControlService.
   */
  public static final class ControlServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<ControlServiceFutureStub> {
    private ControlServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ControlServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ControlServiceFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.bramleyspur.protocol.ClaimReply> claim(
        org.bramleyspur.protocol.ClaimRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getClaimMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.bramleyspur.protocol.CompleteReply> complete(
        org.bramleyspur.protocol.CompleteRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getCompleteMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.bramleyspur.protocol.SubmitReply> submit(
        org.bramleyspur.protocol.SubmitRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSubmitMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.bramleyspur.protocol.QueryReply> query(
        org.bramleyspur.protocol.QueryRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getQueryMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_CLAIM = 0;
  private static final int METHODID_COMPLETE = 1;
  private static final int METHODID_SUBMIT = 2;
  private static final int METHODID_QUERY = 3;
  private static final int METHODID_SESSION = 4;

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
        case METHODID_CLAIM:
          serviceImpl.claim((org.bramleyspur.protocol.ClaimRequest) request,
              (io.grpc.stub.StreamObserver<org.bramleyspur.protocol.ClaimReply>) responseObserver);
          break;
        case METHODID_COMPLETE:
          serviceImpl.complete((org.bramleyspur.protocol.CompleteRequest) request,
              (io.grpc.stub.StreamObserver<org.bramleyspur.protocol.CompleteReply>) responseObserver);
          break;
        case METHODID_SUBMIT:
          serviceImpl.submit((org.bramleyspur.protocol.SubmitRequest) request,
              (io.grpc.stub.StreamObserver<org.bramleyspur.protocol.SubmitReply>) responseObserver);
          break;
        case METHODID_QUERY:
          serviceImpl.query((org.bramleyspur.protocol.QueryRequest) request,
              (io.grpc.stub.StreamObserver<org.bramleyspur.protocol.QueryReply>) responseObserver);
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
        case METHODID_SESSION:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.session(
              (io.grpc.stub.StreamObserver<org.bramleyspur.protocol.SessionDown>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getSessionMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              org.bramleyspur.protocol.SessionUp,
              org.bramleyspur.protocol.SessionDown>(
                service, METHODID_SESSION)))
        .addMethod(
          getClaimMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.bramleyspur.protocol.ClaimRequest,
              org.bramleyspur.protocol.ClaimReply>(
                service, METHODID_CLAIM)))
        .addMethod(
          getCompleteMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.bramleyspur.protocol.CompleteRequest,
              org.bramleyspur.protocol.CompleteReply>(
                service, METHODID_COMPLETE)))
        .addMethod(
          getSubmitMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.bramleyspur.protocol.SubmitRequest,
              org.bramleyspur.protocol.SubmitReply>(
                service, METHODID_SUBMIT)))
        .addMethod(
          getQueryMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.bramleyspur.protocol.QueryRequest,
              org.bramleyspur.protocol.QueryReply>(
                service, METHODID_QUERY)))
        .build();
  }

  private static abstract class ControlServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    ControlServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.bramleyspur.protocol.Session.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("ControlService");
    }
  }

  private static final class ControlServiceFileDescriptorSupplier
      extends ControlServiceBaseDescriptorSupplier {
    ControlServiceFileDescriptorSupplier() {}
  }

  private static final class ControlServiceMethodDescriptorSupplier
      extends ControlServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    ControlServiceMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (ControlServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new ControlServiceFileDescriptorSupplier())
              .addMethod(getSessionMethod())
              .addMethod(getClaimMethod())
              .addMethod(getCompleteMethod())
              .addMethod(getSubmitMethod())
              .addMethod(getQueryMethod())
              .build();
        }
      }
    }
    return result;
  }
}
