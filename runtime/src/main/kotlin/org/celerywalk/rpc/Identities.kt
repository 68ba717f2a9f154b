package org.celerywalk.rpc

import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.instance.Role
import org.celerywalk.protocol.ProcessIdentity as IdentityMessage

/** Converts the identity to its protobuf message. */
public fun ProcessIdentity.toMessage(): IdentityMessage = IdentityMessage.newBuilder()
    .setInstance(instance)
    .setIncarnation(incarnation)
    .setRole(role.name.lowercase())
    .setRegion(region)
    .setDataCentre(dataCentre)
    .setAddress(address)
    .build()

/** Converts the protobuf message to an identity; an unknown role is treated as agent. */
public fun IdentityMessage.toIdentity(): ProcessIdentity = ProcessIdentity(
    instance = instance,
    incarnation = incarnation,
    role = Role.entries.find { it.name.equals(role, ignoreCase = true) } ?: Role.AGENT,
    region = region,
    dataCentre = dataCentre,
    address = address,
)
