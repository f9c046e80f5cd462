// Package design is the goa design of the operators' API. scripts/generate
// makes gen/ from it.
package design

import . "goa.design/goa/v3/dsl"

var _ = API("kingcuphook", func() {
	Title("Kingcuphook operators' API")
	Description("Edits of the tables of routes and pools, and questions about the router.")
	Server("operators", func() {
		Host("local", func() { URI("http://127.0.0.1:8081") })
	})
})

// OperatorToken is the token that every call carries.
var OperatorToken = APIKeySecurity("operator-token", func() {
	Description("The token of the operators' API.")
})

// TableName names one of the tables.
var TableName = Type("table-name", String, func() {
	Description("One of the two tables.")
	Enum("routes", "pools")
})

// Problem is the error of every call.
var Problem = Type("problem", func() {
	Description("What went wrong, in a form that an operator can act on.")
	ErrorName("name", String, "Name of the error.", func() { Meta("struct:error:name") })
	Attribute("message", String, "What went wrong.")
	Attribute("file", String, "File or table that was refused.")
	Attribute("line", Int, "Line that was refused, counted from 1.")
	Attribute("edit-id", String, "Identifier of the edit.")
	Attribute("expect", Int64, "For an unknown outcome: what to ask for the edit with.")
	Required("name", "message")
})

// Row is one change of a table.
var Row = Type("row", func() {
	Description("One row that an edit changed.")
	Attribute("table", TableName, "Table of the row.")
	Attribute("name", String, "Name of the row.")
	Attribute("before", String, "The row before, in TOML; empty if it was added.")
	Attribute("after", String, "The row after, in TOML; empty if it was removed.")
	Required("table", "name")
})

// Change is one entry of the audit trail.
var Change = Type("change", func() {
	Description("One entry of the audit trail.")
	Attribute("revision", Int64, "Revision of the tables; 0 for a refused edit.")
	Attribute("edit-id", String, "Identifier of the edit.")
	Attribute("author", String, "Who made the edit.")
	Attribute("time", String, "When, in RFC 3339.")
	Attribute("outcome", String, "accepted or refused.")
	Attribute("reason", String, "Why it was refused.")
	Attribute("rows", ArrayOf(Row), "Rows that were changed.")
	Required("revision", "edit-id", "author", "time", "outcome")
})

// Applied is the outcome of an accepted edit.
var Applied = Type("applied", func() {
	Description("An accepted edit.")
	Attribute("revision", Int64, "Revision of the tables with the edit.")
	Attribute("edit-id", String, "Identifier of the edit.")
	Attribute("rows", ArrayOf(Row), "Rows that were changed.")
	Required("revision", "edit-id")
})

// Member is one router as this router knows it.
var Member = Type("member", func() {
	Description("One router as this router knows it.")
	Attribute("address", String, "Address of its peer link.")
	Attribute("region", String, "Region.")
	Attribute("data-centre", String, "Data centre.")
	Attribute("state", String, "alive, suspect, leaving, left, dead or unreachable.")
	Attribute("revision", Int64, "Revision in force there, as last heard.")
	Attribute("heard-seconds", Float64, "How long ago it was heard of, in seconds.")
	Required("address", "region", "data-centre", "state", "revision")
})

// UpstreamStatus is one upstream as this router knows it.
var UpstreamStatus = Type("upstream-status", func() {
	Description("One upstream as this router knows it.")
	Attribute("pool", String, "Pool.")
	Attribute("address", String, "Address.")
	Attribute("region", String, "Region.")
	Attribute("running", Int, "Requests reported as running there.")
	Attribute("queued", Int, "Requests reported as waiting there.")
	Attribute("leaving", Boolean, "Takes no new work.")
	Attribute("report-age-seconds", Float64, "Age of the load report in seconds.")
	Required("pool", "address", "region")
})

// PoolStatus is one pool as this router knows it.
var PoolStatus = Type("pool-status", func() {
	Description("One pool as this router knows it.")
	Attribute("name", String, "Name.")
	Attribute("waiting", Int, "Requests waiting at this router.")
	Required("name", "waiting")
})

// Status is the state of a router.
var Status = Type("status-report", func() {
	Description("The state of a router.")
	Attribute("address", String, "Address of its peer link.")
	Attribute("region", String, "Region.")
	Attribute("data-centre", String, "Data centre.")
	Attribute("ready", Boolean, "Takes requests.")
	Attribute("revision", Int64, "Revision of the tables in force.")
	Attribute("open-requests", Int, "Requests in progress.")
	Attribute("store", String, "available or unavailable.")
	Attribute("members", ArrayOf(Member), "Routers known.")
	Attribute("pools", ArrayOf(PoolStatus), "Pools in force.")
	Attribute("upstreams", ArrayOf(UpstreamStatus), "Upstreams in force.")
	Required("address", "region", "data-centre", "ready", "revision", "open-requests", "store")
})

// Step is one step of a request.
var Step = Type("step", func() {
	Description("One step in the life of a request.")
	Attribute("at-ms", Float64, "Milliseconds since the request arrived.")
	Attribute("name", String, "What happened.")
	Attribute("upstream", String, "Upstream of the step.")
	Attribute("detail", String, "Reasons and figures.")
	Required("at-ms", "name")
})

// Explanation is the path of a request through the router.
var Explanation = Type("explanation", func() {
	Description("The path of a request through this router.")
	Attribute("request-id", String, "Identifier of the request.")
	Attribute("class", String, "Class.")
	Attribute("organisation", String, "Organisation.")
	Attribute("tier", Int, "Tier.")
	Attribute("route", String, "Route that matched.")
	Attribute("pool", String, "Pool.")
	Attribute("outcome", String, "How it ended; empty while it runs.")
	Attribute("steps", ArrayOf(Step), "Steps in order.")
	Required("request-id", "class", "organisation", "tier", "route", "pool", "outcome", "steps")
})

// Quarantined is one request fingerprint that is refused.
var Quarantined = Type("quarantined", func() {
	Description("A request that is refused because it crashed upstreams.")
	Attribute("fingerprint", String, "Fingerprint of the body, in hexadecimal.")
	Attribute("state", String, "suspect or quarantined.")
	Attribute("until", String, "When it ends by itself, in RFC 3339.")
	Required("fingerprint", "state")
})

// Commands change state.
var _ = Service("commands", func() {
	Description("Changes the tables and lifts quarantines.")
	Security(OperatorToken)
	Error("invalid", Problem, "The edit was refused whole.")
	Error("conflict", Problem, "Another edit changed the same row.")
	Error("unavailable", Problem, "The store took no edit; nothing was changed.")
	Error("unknown", Problem, "The store's reply was lost; ask again for the edit by its identifier.")
	Error("unauthorized", Problem, "The token is missing or wrong.")
	Error("not-found", Problem, "There is no such thing.")
	HTTP(func() {
		Response("invalid", StatusUnprocessableEntity)
		Response("conflict", StatusConflict)
		Response("unavailable", StatusServiceUnavailable)
		Response("unknown", StatusBadGateway)
		Response("unauthorized", StatusUnauthorized)
		Response("not-found", StatusNotFound)
	})

	Method("apply", func() {
		Description("Replaces the text of one table, row by row against the base revision.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("table", TableName, "Table to be edited.")
			Attribute("text", String, "The whole table in TOML.", func() { MaxLength(16 << 20) })
			Attribute("base-revision", Int64, "Revision that the text was made from; 0 means the newest.")
			Attribute("edit-id", String, "Identifier chosen by the operator; made up if empty.", func() { MaxLength(64) })
			Attribute("author", String, "Who makes the edit.", func() { MaxLength(128) })
			Required("table", "text", "author")
		})
		Result(Applied)
		HTTP(func() {
			PUT("/v1/tables/{table}")
			Header("token:X-Operator-Token")
			Response(StatusOK)
		})
	})

	Method("patch", func() {
		Description("Puts single rows into the tables or removes them.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("text", String, "The rows in TOML.", func() { MaxLength(16 << 20) })
			Attribute("edit-id", String, "Identifier chosen by the operator; made up if empty.", func() { MaxLength(64) })
			Attribute("author", String, "Who makes the edit.", func() { MaxLength(128) })
			Required("text", "author")
		})
		Result(Applied)
		HTTP(func() {
			POST("/v1/patch")
			Header("token:X-Operator-Token")
			Response(StatusOK)
		})
	})

	Method("rollback", func() {
		Description("Makes a new edit that restores the tables of an older revision, or takes one edit back.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("revision", Int64, "Revision to restore.")
			Attribute("only", Boolean, "Take back the edit that made the next revision, and keep later ones.", func() { Default(false) })
			Attribute("author", String, "Who makes the edit.", func() { MaxLength(128) })
			Required("revision", "author")
		})
		Result(Applied)
		HTTP(func() {
			POST("/v1/rollback")
			Header("token:X-Operator-Token")
			Response(StatusOK)
		})
	})

	Method("lift", func() {
		Description("Lifts the quarantine of a request fingerprint.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("fingerprint", String, "Fingerprint in hexadecimal.", func() { MaxLength(16) })
			Required("fingerprint")
		})
		HTTP(func() {
			DELETE("/v1/quarantine/{fingerprint}")
			Header("token:X-Operator-Token")
			Response(StatusNoContent)
		})
	})
})

// Queries read state.
var _ = Service("queries", func() {
	Description("Answers questions about the tables, the router and its requests.")
	Security(OperatorToken)
	Error("unavailable", Problem, "The store can't be reached.")
	Error("unauthorized", Problem, "The token is missing or wrong.")
	Error("not-found", Problem, "There is no such thing.")
	HTTP(func() {
		Response("unavailable", StatusServiceUnavailable)
		Response("unauthorized", StatusUnauthorized)
		Response("not-found", StatusNotFound)
	})

	Method("table", func() {
		Description("Returns the text of one table as it is in force.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("table", TableName, "Table.")
			Required("table")
		})
		Result(func() {
			Attribute("revision", Int64, "Revision in force.")
			Attribute("text", String, "The table in TOML.")
			Required("revision", "text")
		})
		HTTP(func() {
			GET("/v1/tables/{table}")
			Header("token:X-Operator-Token")
			Response(StatusOK)
		})
	})

	Method("history", func() {
		Description("Returns the audit trail, newest first.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("table", TableName, "Only changes of this table.")
			Attribute("limit", Int, "Most entries to return.", func() {
				Minimum(1)
				Maximum(1000)
				Default(20)
			})
		})
		Result(ArrayOf(Change))
		HTTP(func() {
			GET("/v1/history")
			Param("table")
			Param("limit")
			Header("token:X-Operator-Token")
			Response(StatusOK)
		})
	})

	Method("outcome", func() {
		Description("Returns what became of an edit.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("edit-id", String, "Identifier of the edit.", func() { MaxLength(64) })
			Attribute("expect", Int64, "What an unknown outcome said to ask with; 0 if not known.")
			Required("edit-id")
		})
		Result(func() {
			Attribute("fate", String, "accepted, refused, not-accepted or unknown.")
			Attribute("revision", Int64, "Revision that an accepted edit made.")
			Attribute("reason", String, "Why it was refused.")
			Required("fate")
		})
		HTTP(func() {
			GET("/v1/edits/{edit-id}")
			Param("expect")
			Header("token:X-Operator-Token")
			Response(StatusOK)
		})
	})

	Method("diff", func() {
		Description("Returns the rows that differ between two revisions.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("from", Int64, "Older revision.")
			Attribute("to", Int64, "Newer revision; 0 means the one in force.")
			Required("from")
		})
		Result(ArrayOf(Row))
		HTTP(func() {
			GET("/v1/diff")
			Param("from")
			Param("to")
			Header("token:X-Operator-Token")
			Response(StatusOK)
		})
	})

	Method("status", func() {
		Description("Returns the state of this router.")
		Payload(func() {
			APIKey("operator-token", "token", String)
		})
		Result(Status)
		HTTP(func() {
			GET("/v1/status")
			Header("token:X-Operator-Token")
			Response(StatusOK)
		})
	})

	Method("explain", func() {
		Description("Returns the path of a request through this router.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("request-id", String, "Identifier of the request.", func() { MaxLength(64) })
			Required("request-id")
		})
		Result(Explanation)
		HTTP(func() {
			GET("/v1/requests/{request-id}")
			Header("token:X-Operator-Token")
			Response(StatusOK)
		})
	})

	Method("quarantine", func() {
		Description("Returns the request fingerprints that are suspect or refused.")
		Payload(func() {
			APIKey("operator-token", "token", String)
		})
		Result(ArrayOf(Quarantined))
		HTTP(func() {
			GET("/v1/quarantine")
			Header("token:X-Operator-Token")
			Response(StatusOK)
		})
	})
})
