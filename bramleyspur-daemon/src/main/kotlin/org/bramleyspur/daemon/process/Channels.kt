package org.bramleyspur.daemon.process

import io.grpc.ConnectivityState
import io.grpc.ManagedChannel
import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.netty.NettyChannelBuilder
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import org.bramleyspur.core.settings.Address
import java.util.concurrent.TimeUnit

/**
 * Effective on servers only. gRPC raises the value of a client to 10 s, so clients detect dead peers by heartbeats and
 * probes.
 */
private const val KEEPALIVE_TIME_MS = 1_000L
private const val KEEPALIVE_TIMEOUT_MS = 1_000L

/** Room for the largest append message of the control log, a document, and a full directory of backend servers. */
internal const val MAX_MESSAGE_BYTES = 16 * 1024 * 1024

/**
 * Opens a gRPC channel whose callbacks run on [group]. gRPC's retries and name resolution are disabled, since the
 * routing and retry code makes these decisions.
 */
fun openChannel(address: Address, group: EventLoopGroup): ManagedChannel = NettyChannelBuilder
    .forAddress(address.toSocketAddress())
    .eventLoopGroup(group)
    .channelType(NioSocketChannel::class.java)
    .directExecutor()
    .usePlaintext()
    .disableRetry()
    .disableServiceConfigLookUp()
    .keepAliveTime(KEEPALIVE_TIME_MS, TimeUnit.MILLISECONDS)
    .keepAliveTimeout(KEEPALIVE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    .maxInboundMessageSize(MAX_MESSAGE_BYTES)
    .build()

/**
 * Resets the reconnect backoff of a channel whose last connection attempt failed. gRPC's backoff grows to two minutes,
 * far longer than a restarted process may stay unreachable.
 */
fun ManagedChannel.reconnectNow() {
    if (getState(false) == ConnectivityState.TRANSIENT_FAILURE) resetConnectBackoff()
}

/** Builds a gRPC server on [address] whose calls run on [group]; the caller starts it. */
fun buildServer(address: Address, group: EventLoopGroup, services: List<ServerServiceDefinition>): Server {
    val builder =
        NettyServerBuilder
            .forAddress(address.toSocketAddress())
            .bossEventLoopGroup(group)
            .workerEventLoopGroup(group)
            .channelType(NioServerSocketChannel::class.java)
            .directExecutor()
            .keepAliveTime(KEEPALIVE_TIME_MS, TimeUnit.MILLISECONDS)
            .keepAliveTimeout(KEEPALIVE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .permitKeepAliveTime(KEEPALIVE_TIME_MS / 2, TimeUnit.MILLISECONDS)
            .permitKeepAliveWithoutCalls(true)
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
    services.forEach { builder.addService(it) }
    return builder.build()
}
