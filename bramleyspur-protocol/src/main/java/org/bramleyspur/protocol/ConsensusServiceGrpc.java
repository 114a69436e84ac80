package org.bramleyspur.protocol;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class ConsensusServiceGrpc {

  private ConsensusServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "bramleyspur.ConsensusService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.bramleyspur.protocol.ConsensusMessage,
      org.bramleyspur.protocol.ConsensusAck> getMessagesMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Messages",
      requestType = org.bramleyspur.protocol.ConsensusMessage.class,
      responseType = org.bramleyspur.protocol.ConsensusAck.class,
      methodType = io.grpc.MethodDescriptor.MethodType.CLIENT_STREAMING)
  public static io.grpc.MethodDescriptor<org.bramleyspur.protocol.ConsensusMessage,
      org.bramleyspur.protocol.ConsensusAck> getMessagesMethod() {
    io.grpc.MethodDescriptor<org.bramleyspur.protocol.ConsensusMessage, org.bramleyspur.protocol.ConsensusAck> getMessagesMethod;
    if ((getMessagesMethod = ConsensusServiceGrpc.getMessagesMethod) == null) {
      synchronized (ConsensusServiceGrpc.class) {
        if ((getMessagesMethod = ConsensusServiceGrpc.getMessagesMethod) == null) {
          ConsensusServiceGrpc.getMessagesMethod = getMessagesMethod =
              io.grpc.MethodDescriptor.<org.bramleyspur.protocol.ConsensusMessage, org.bramleyspur.protocol.ConsensusAck>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.CLIENT_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Messages"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.ConsensusMessage.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.bramleyspur.protocol.ConsensusAck.getDefaultInstance()))
              .setSchemaDescriptor(new ConsensusServiceMethodDescriptorSupplier("Messages"))
              .build();
        }
      }
    }
    return getMessagesMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static ConsensusServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ConsensusServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ConsensusServiceStub>() {
        @java.lang.Override
        public ConsensusServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ConsensusServiceStub(channel, callOptions);
        }
      };
    return ConsensusServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static ConsensusServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ConsensusServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ConsensusServiceBlockingV2Stub>() {
        @java.lang.Override
        public ConsensusServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ConsensusServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return ConsensusServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static ConsensusServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ConsensusServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ConsensusServiceBlockingStub>() {
        @java.lang.Override
        public ConsensusServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ConsensusServiceBlockingStub(channel, callOptions);
        }
      };
    return ConsensusServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static ConsensusServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<ConsensusServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<ConsensusServiceFutureStub>() {
        @java.lang.Override
        public ConsensusServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new ConsensusServiceFutureStub(channel, callOptions);
        }
      };
    return ConsensusServiceFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     * <pre>
     * One long-lived stream in each direction between each pair of control instances.
     * </pre>
     */
    default io.grpc.stub.StreamObserver<org.bramleyspur.protocol.ConsensusMessage> messages(
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.ConsensusAck> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getMessagesMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service ConsensusService.
   */
  public static abstract class ConsensusServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return ConsensusServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service ConsensusService.
   */
  public static final class ConsensusServiceStub
      extends io.grpc.stub.AbstractAsyncStub<ConsensusServiceStub> {
    private ConsensusServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ConsensusServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ConsensusServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * One long-lived stream in each direction between each pair of control instances.
     * </pre>
     */
    public io.grpc.stub.StreamObserver<org.bramleyspur.protocol.ConsensusMessage> messages(
        io.grpc.stub.StreamObserver<org.bramleyspur.protocol.ConsensusAck> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncClientStreamingCall(
          getChannel().newCall(getMessagesMethod(), getCallOptions()), responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service ConsensusService.
   */
  public static final class ConsensusServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<ConsensusServiceBlockingV2Stub> {
    private ConsensusServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ConsensusServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ConsensusServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * One long-lived stream in each direction between each pair of control instances.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<org.bramleyspur.protocol.ConsensusMessage, org.bramleyspur.protocol.ConsensusAck>
        messages() {
      return io.grpc.stub.ClientCalls.blockingClientStreamingCall(
          getChannel(), getMessagesMethod(), getCallOptions());
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service ConsensusService.
   */
  public static final class ConsensusServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<ConsensusServiceBlockingStub> {
    private ConsensusServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ConsensusServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ConsensusServiceBlockingStub(channel, callOptions);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service ConsensusService.
   */
  public static final class ConsensusServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<ConsensusServiceFutureStub> {
    private ConsensusServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected ConsensusServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new ConsensusServiceFutureStub(channel, callOptions);
    }
  }

  private static final int METHODID_MESSAGES = 0;

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
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_MESSAGES:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.messages(
              (io.grpc.stub.StreamObserver<org.bramleyspur.protocol.ConsensusAck>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getMessagesMethod(),
          io.grpc.stub.ServerCalls.asyncClientStreamingCall(
            new MethodHandlers<
              org.bramleyspur.protocol.ConsensusMessage,
              org.bramleyspur.protocol.ConsensusAck>(
                service, METHODID_MESSAGES)))
        .build();
  }

  private static abstract class ConsensusServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    ConsensusServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.bramleyspur.protocol.Consensus.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("ConsensusService");
    }
  }

  private static final class ConsensusServiceFileDescriptorSupplier
      extends ConsensusServiceBaseDescriptorSupplier {
    ConsensusServiceFileDescriptorSupplier() {}
  }

  private static final class ConsensusServiceMethodDescriptorSupplier
      extends ConsensusServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    ConsensusServiceMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (ConsensusServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new ConsensusServiceFileDescriptorSupplier())
              .addMethod(getMessagesMethod())
              .build();
        }
      }
    }
    return result;
  }
}
