package org.celerywalk.endpoint

/** Returns the start of the endpoint whose agent has [incarnation], which is unique among all agents. */
public fun agentStart(incarnation: String): EndpointStart = EndpointStart(incarnation, startedAtMillis = null)
