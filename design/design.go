// Package design defines the operators' API in the Goa DSL; gen/ and its OpenAPI schemas are generated from it.
package design

import (
	. "goa.design/goa/v3/dsl" //nolint:staticcheck // The Goa DSL is designed for dot imports.
)

var _ = API("boragelane", func() {
	Title("Boragelane operators' API")
	Description("Services, ranks, regions, limits, drains and shifts of a boragelane system, and what it does now.")
	Version("1")
	Server("entry", func() {
		Services("admin")
		Host("local", func() { URI("http://127.0.0.1:7003") })
	})
})

// Rank is a priority class with its minimum share, queue limit and retry ratio.
var Rank = Type("Rank", func() {
	Description("A class of urgency; the first of a document is the most urgent.")
	Attribute("name", String, "Name", namePattern)
	Attribute("minimum", Float64, "Part of a resource that the rank gets while it waits", func() { Minimum(0); Maximum(0.9) })
	Attribute("queue", Int, "Most jobs that wait, for each service and host", func() { Minimum(1); Maximum(1000000) })
	Attribute("retry", Float64, "Retries as a part of first tries", func() { Minimum(0); Maximum(1) })
	Required("name", "minimum", "queue", "retry")
})

// ServiceType is the configuration of a set of interchangeable upstreams, which all accept the same requests.
// It is not called Service because the Goa DSL has a function of that name.
var ServiceType = Type("ServiceConfig", func() {
	Description("A kind of work, served by upstreams that all accept the same requests.")
	Attribute("name", String, "Name", namePattern)
	Attribute("rank", String, "Rank of jobs that name none", namePattern)
	Attribute("timeout", String, "Longest time for a job, such as 1.5s", durationPattern)
	Attribute("once", Boolean, "Whether a job may run at most once")
	Attribute("slots", Int, "Most jobs in flight on one upstream", func() { Minimum(1); Maximum(100000) })
	Attribute("conns", Int, "Most connections to one upstream", func() { Minimum(1); Maximum(1000000) })
	Required("name", "rank", "timeout", "once", "slots", "conns")
})

// Seat is the configured position of one entry host, with its addresses for callers and for other entry hosts.
var Seat = Type("Seat", func() {
	Attribute("name", String, "Name", namePattern)
	Attribute("front", String, "Address for callers, as IP:port")
	Attribute("peer", String, "Address for other entry hosts, as IP:port")
	Required("name", "front", "peer")
})

// Domain is a failure domain and the entry hosts that may run in it.
var Domain = Type("Domain", func() {
	Attribute("name", String, "Name", namePattern)
	Attribute("seats", ArrayOf(Seat), "Entry hosts")
	Required("name", "seats")
})

// Region is a group of failure domains that share one capacity, in jobs in flight.
var Region = Type("Region", func() {
	Attribute("name", String, "Name", namePattern)
	Attribute("capacity", Int, "Most jobs in flight in the region", func() { Minimum(1); Maximum(100000000) })
	Attribute("domains", ArrayOf(Domain), "Failure domains")
	Required("name", "capacity", "domains")
})

// Link limits the traffic from one region to another, in bytes a second, and gives its one-way delay.
var Link = Type("Link", func() {
	Attribute("from", String, "Region that sends", namePattern)
	Attribute("to", String, "Region that receives", namePattern)
	Attribute("rate", Int64, "Most bytes a second", func() { Minimum(1) })
	Attribute("delay", String, "One-way delay, such as 20ms", durationPattern)
	Required("from", "to", "rate", "delay")
})

// Drain stops new work from going to an upstream, host, domain or region.
var Drain = Type("Drain", func() {
	Attribute("kind", String, "What is drained", func() { Enum("upstream", "host", "domain", "region") })
	Attribute("name", String, "Its name", namePattern)
	Required("kind", "name")
})

// Shift moves a fraction of a service's traffic from one region to another, with a cap in jobs a second.
var Shift = Type("Shift", func() {
	Attribute("name", String, "Name", namePattern)
	Attribute("service", String, "Service that moves", namePattern)
	Attribute("from", String, "Region that it leaves", namePattern)
	Attribute("to", String, "Region that it goes to", namePattern)
	Attribute("part", Float64, "Part that moves in the end", func() { Minimum(0); Maximum(1) })
	Attribute("cap", Float64, "Most jobs a second that move", func() { Minimum(0) })
	Attribute("ramp", String, "Time from nothing to the whole part, such as 10m", durationPattern)
	Attribute("start", String, "When it begins", func() { Format(FormatDateTime) })
	Required("name", "service", "from", "to", "part", "cap", "ramp", "start")
})

// Document is one revision of the operators' configuration.
var Document = Type("Document", func() {
	Attribute("revision", UInt64, "Revision")
	Attribute("floor", Float64, "Part of each limit that hosts hold without contact", func() { Minimum(0); Maximum(1) })
	Attribute("ranks", ArrayOf(Rank))
	Attribute("services", ArrayOf(ServiceType))
	Attribute("regions", ArrayOf(Region))
	Attribute("links", ArrayOf(Link))
	Attribute("drains", ArrayOf(Drain))
	Attribute("shifts", ArrayOf(Shift))
	Required("revision", "floor", "ranks", "services", "regions", "links", "drains", "shifts")
})

// Ref identifies, by kind and name, an item to remove from a document. The kind "regions" refers to a region, because
// "region" refers to the drain of a region.
var Ref = Type("Ref", func() {
	Attribute("kind", String, "Kind of the thing", func() {
		Enum("rank", "service", "regions", "link", "shift", "upstream", "host", "domain", "region")
	})
	Attribute("name", String, "Its name; a link's is from>to, the last four kinds remove a drain", func() { MinLength(1); MaxLength(160) })
	Required("kind", "name")
})

// Change is a set of edits that are applied to a document atomically, if it is still at the expected revision.
var Change = Type("Change", func() {
	Attribute("expect", UInt64, "Revision that the change was made for")
	Attribute("ranks", ArrayOf(Rank), "Ranks to put")
	Attribute("services", ArrayOf(ServiceType), "Services to put")
	Attribute("regions", ArrayOf(Region), "Regions to put")
	Attribute("links", ArrayOf(Link), "Links to put")
	Attribute("drains", ArrayOf(Drain), "Drains to put")
	Attribute("shifts", ArrayOf(Shift), "Shifts to put")
	Attribute("floor", Float64, "Part of each limit that hosts hold without contact", func() { Minimum(0); Maximum(1) })
	Attribute("remove", ArrayOf(Ref), "Things to remove")
	Required("expect")
})

// HostStatus is a relay's record of a host of its failure domain.
var HostStatus = Type("HostStatus", func() {
	Attribute("seat", String)
	Attribute("revision", UInt64)
	Attribute("leaving", Boolean)
	Attribute("age", String, "Time since it was last heard")
	Required("seat", "revision", "leaving", "age")
})

// LoadStatus is the load of a service in a failure domain and the age of that information.
var LoadStatus = Type("LoadStatus", func() {
	Attribute("domain", String)
	Attribute("service", String)
	Attribute("slots", Int64)
	Attribute("busy", Int64)
	Attribute("queued", Int64)
	Attribute("latency", String)
	Attribute("age", String, "Time since this host learned it")
	Required("domain", "service", "slots", "busy", "queued", "latency", "age")
})

// ShareStatus is this host's share of a limit: its permanent floor and the units lent to it from the pool.
var ShareStatus = Type("ShareStatus", func() {
	Attribute("resource", String)
	Attribute("floor", Int64)
	Attribute("lent", Int64)
	Required("resource", "floor", "lent")
})

// ShiftStatus is the progress of a shift on this host.
var ShiftStatus = Type("ShiftStatus", func() {
	Attribute("name", String)
	Attribute("done", Float64, "From 0 to 1")
	Attribute("paused", Boolean, "Whether the target's state holds it")
	Required("name", "done", "paused")
})

// Status is a report of a host's control state for operators.
var Status = Type("Status", func() {
	Attribute("seat", String)
	Attribute("domain", String)
	Attribute("region", String)
	Attribute("incarnation", String)
	Attribute("revision", UInt64)
	Attribute("relay", String, "Host that relays for this failure domain")
	Attribute("lender", Boolean, "Whether this host lends the pools")
	Attribute("takeovers", ArrayOf(String), "Silent failure domains of the region whose pools this host lends too")
	Attribute("leaving", Boolean)
	Attribute("hosts", ArrayOf(HostStatus))
	Attribute("loads", ArrayOf(LoadStatus))
	Attribute("shares", ArrayOf(ShareStatus))
	Attribute("shifts", ArrayOf(ShiftStatus))
	Required("seat", "domain", "region", "incarnation", "revision", "relay", "lender", "takeovers", "leaving", "hosts", "loads", "shares", "shifts")
})

// Choice is one routing target for a request and the reason why it was chosen.
var Choice = Type("Choice", func() {
	Attribute("seat", String)
	Attribute("domain", String)
	Attribute("region", String)
	Attribute("reason", String)
	Required("seat", "domain", "region", "reason")
})

// Explanation is the routing decision for a request that is not run: either a refusal or the chosen targets.
var Explanation = Type("Explanation", func() {
	Attribute("revision", UInt64)
	Attribute("rank", String)
	Attribute("once", Boolean)
	Attribute("outcome", String, "Refusal that would come at once, empty if it would be tried")
	Attribute("choices", ArrayOf(Choice))
	Required("revision", "rank", "once", "outcome", "choices")
})

// Conflict is the error for a change whose expected revision is not the revision in force.
var Conflict = Type("Conflict", func() {
	ErrorName("name", String, "Name of the error")
	Attribute("message", String)
	Attribute("current", UInt64, "Revision in force")
	Required("name", "message", "current")
})

// Failure is the error type of all errors other than conflicts.
var Failure = Type("Failure", func() {
	ErrorName("name", String, "Name of the error")
	Attribute("message", String)
	Required("name", "message")
})

// namePattern restricts an attribute to names of up to 63 lower-case letters, digits, dots, colons and hyphens that
// begin with a letter or a digit.
func namePattern() {
	Pattern(`^[a-z0-9][a-z0-9.:-]{0,62}$`)
}

// durationPattern restricts an attribute to durations without a sign, such as 1.5s or 2m30s.
func durationPattern() {
	Pattern(`^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`)
}

var _ = Service("admin", func() {
	Description("Operates a boragelane system through any of its entry hosts.")
	Error("conflict", Conflict, "Another change came first")
	Error("invalid", Failure, "The change breaks a rule")
	Error("missing", Failure, "There is no such thing")
	Error("unavailable", Failure, "The platform can't be reached; nothing is known to have changed")
	HTTP(func() {
		Path("/v1/admin")
		Response("conflict", StatusConflict)
		Response("invalid", StatusBadRequest)
		Response("missing", StatusNotFound)
		Response("unavailable", StatusServiceUnavailable)
	})

	Method("get-config", func() {
		Description("Returns the configuration in force on this host.")
		Result(Document)
		HTTP(func() { GET("/document") })
	})
	Method("change-config", func() {
		Description("Edits services, ranks, regions, limits, drains and shifts together.")
		Payload(Change)
		Result(Document)
		HTTP(func() { POST("/document") })
	})
	Method("add-drain", func() {
		Description("Keeps new work from an upstream, host, domain or region.")
		Payload(func() {
			Extend(Drain)
			Attribute("expect", UInt64, "Revision that the change was made for; without it any")
		})
		Result(Document)
		HTTP(func() { POST("/drains") })
	})
	Method("remove-drain", func() {
		Description("Ends a drain.")
		Payload(func() {
			Extend(Drain)
			Attribute("expect", UInt64, "Revision that the change was made for; without it any")
		})
		Result(Document)
		HTTP(func() {
			DELETE("/drains/{kind}/{name}")
			Param("expect")
		})
	})
	Method("get-status", func() {
		Description("Returns what this host knows and does.")
		Result(Status)
		HTTP(func() { GET("/status") })
	})
	Method("explain-route", func() {
		Description("Says where a request would go from this host, and why.")
		Payload(func() {
			Attribute("service", String, "Service of the request")
			Attribute("rank", String, "Rank of the request")
			Attribute("caller", String, "Caller of the request")
			Required("service")
		})
		Result(Explanation)
		HTTP(func() {
			GET("/explain")
			Param("service")
			Param("rank")
			Param("caller")
		})
	})
})
