package org.bramleyspur.core.wire

import kotlinx.collections.immutable.toImmutableList
import org.bramleyspur.core.model.Assignment
import org.bramleyspur.core.model.FencingNumber
import org.bramleyspur.core.model.Incarnation
import org.bramleyspur.core.model.InstanceName
import org.bramleyspur.core.model.Member
import org.bramleyspur.core.model.ReplicaId
import org.bramleyspur.core.model.Route
import org.bramleyspur.core.model.RouteTable
import org.bramleyspur.protocol.Assignment as AssignmentMessage
import org.bramleyspur.protocol.Member as MemberMessage
import org.bramleyspur.protocol.Route as RouteMessage
import org.bramleyspur.protocol.RouteTable as RouteTableMessage

/** Converts to the generated message. */
fun Assignment.toMessage(): AssignmentMessage = AssignmentMessage
    .newBuilder()
    .setReplica(replica.value)
    .setFencingNumber(fencingNumber.value)
    .setService(service)
    .setModel(model)
    .setVersion(version)
    .addAllAdapters(adapters)
    .addAllMembers(members.map { it.toMessage() })
    .build()

/** Converts from the generated message. */
fun AssignmentMessage.toModel(): Assignment = Assignment(
    replica = ReplicaId(replica),
    fencingNumber = FencingNumber(fencingNumber),
    service = service,
    model = model,
    version = version,
    adapters = adaptersList.toImmutableList(),
    members = membersList.map { Member(InstanceName(it.instance), it.address, it.backendAddress) }.toImmutableList(),
)

private fun Member.toMessage(): MemberMessage = MemberMessage
    .newBuilder()
    .setInstance(instance.value)
    .setAddress(address)
    .setBackendAddress(backendAddress)
    .build()

/** Converts to the generated message. */
fun RouteTable.toMessage(): RouteTableMessage = RouteTableMessage
    .newBuilder()
    .setTerm(term)
    .setSequence(sequence)
    .addAllRoutes(routes.map { it.toMessage() })
    .build()

/** Converts from the generated message. */
fun RouteTableMessage.toModel(): RouteTable =
    RouteTable(term, sequence, routesList.map { it.toModel() }.toImmutableList())

private fun Route.toMessage(): RouteMessage = RouteMessage
    .newBuilder()
    .setService(service)
    .setReplica(replica?.value.orEmpty())
    .setFencingNumber(fencingNumber.value)
    .setInstance(instance.value)
    .setIncarnation(incarnation.value)
    .setAddress(address)
    .setRegion(region)
    .setDataCentre(dataCentre)
    .setVersion(version)
    .addAllAdapters(adapters)
    .setSlots(slots)
    .build()

private fun RouteMessage.toModel(): Route = Route(
    service = service,
    replica = replica.ifEmpty { null }?.let { ReplicaId(it) },
    fencingNumber = FencingNumber(fencingNumber),
    instance = InstanceName(instance),
    incarnation = Incarnation(incarnation),
    address = address,
    region = region,
    dataCentre = dataCentre,
    version = version,
    adapters = adaptersList.toImmutableList(),
    slots = slots,
)
