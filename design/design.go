// Package design is the goa design of the operators' API. scripts/generate generates
// gen/ from it.
package design

import . "goa.design/goa/v3/dsl"

var _ = API("kingcuphook", func() {
	Title("Kingcuphook operators' API")
	Description("Edits of the tables of routes and pools, and queries about this process.")
	Server("operators", func() {
		Host("local", func() { URI("http://127.0.0.1:8081") })
	})
})

// OperatorToken is the token that every call must include.
var OperatorToken = APIKeySecurity("operator-token", func() {
	Description("The token of the operators' API.")
})

// TableName is the name of a table.
var TableName = Type("table-name", String, func() {
	Description("Name of a table.")
	Enum("routes", "pools")
})

// Problem is the error type of all calls.
var Problem = Type("problem", func() {
	Description("What went wrong, in a form that an operator can act on.")
	ErrorName("name", String, "Name of the error.", func() { Meta("struct:error:name") })
	Attribute("message", String, "Description of the error.")
	Attribute("file", String, "File or table with the invalid input.")
	Attribute("line", Int, "Line of the invalid input, counted from 1.")
	Attribute("edit-id", String, "Identifier of the edit.")
	Attribute("expect", Int64, "For an unknown outcome: the value to pass as expect when the outcome is queried.")
	Required("name", "message")
})

// Row is the change of one row of a table.
var Row = Type("row", func() {
	Description("The change of one row of a table.")
	Attribute("table", TableName, "Table of the row.")
	Attribute("name", String, "Name of the row.")
	Attribute("before", String, "The row before the change, in TOML; missing if it was added.")
	Attribute("after", String, "The row after the change, in TOML; missing if it was removed.")
	Required("table", "name")
})

// Change is an entry of the audit trail.
var Change = Type("change", func() {
	Description("An entry of the audit trail.")
	Attribute("revision", Int64, "Revision of the tables; 0 for a rejected edit.")
	Attribute("edit-id", String, "Identifier of the edit.")
	Attribute("author", String, "Author of the edit.")
	Attribute("time", String, "Time of the edit, in RFC 3339.")
	Attribute("outcome", String, "Outcome: accepted or refused.")
	Attribute("reason", String, "Reason for an accepted edit, or why the edit was rejected.")
	Attribute("rows", ArrayOf(Row), "Rows that were changed.")
	Required("revision", "edit-id", "author", "time", "outcome")
})

// Applied is the result of an accepted edit.
var Applied = Type("applied", func() {
	Description("An accepted edit.")
	Attribute("revision", Int64, "Revision of the tables that the edit created.")
	Attribute("edit-id", String, "Identifier of the edit.")
	Attribute("rows", ArrayOf(Row), "Rows that were changed.")
	Required("revision", "edit-id")
})

// Member is a process of the fleet, as known to this process.
var Member = Type("member", func() {
	Description("A process of the fleet, as known to this process.")
	Attribute("address", String, "Address of its peer link.")
	Attribute("region", String, "Region.")
	Attribute("data-centre", String, "Data centre.")
	Attribute("state", String, "State: alive, suspect, leaving, left, dead or unreachable.")
	Attribute("revision", Int64, "Current revision of the member, as last received.")
	Attribute("heard-seconds", Float64, "Time since the last digest from the member, in seconds.")
	Required("address", "region", "data-centre", "state", "revision")
})

// UpstreamStatus is the status of an upstream, as known to this process.
var UpstreamStatus = Type("upstream-status", func() {
	Description("The status of an upstream, as known to this process.")
	Attribute("pool", String, "Pool.")
	Attribute("address", String, "Address.")
	Attribute("region", String, "Region.")
	Attribute("running", Int, "Requests reported as running there.")
	Attribute("queued", Int, "Requests reported as queued there.")
	Attribute("leaving", Boolean, "Whether the upstream is leaving and gets no new requests.")
	Attribute("report-age-seconds", Float64, "Age of the load report in seconds.")
	Required("pool", "address", "region")
})

// PoolStatus is the status of a pool at this process.
var PoolStatus = Type("pool-status", func() {
	Description("The status of a pool at this process.")
	Attribute("name", String, "Name.")
	Attribute("waiting", Int, "Requests queued at this process.")
	Required("name", "waiting")
})

// Status is the status of a process.
var Status = Type("status-report", func() {
	Description("The status of a process.")
	Attribute("address", String, "Address of its peer link.")
	Attribute("region", String, "Region.")
	Attribute("data-centre", String, "Data centre.")
	Attribute("ready", Boolean, "Whether the process accepts requests.")
	Attribute("revision", Int64, "Current revision of the tables.")
	Attribute("open-requests", Int, "Requests in flight.")
	Attribute("store", String, "State of the store: available or unavailable.")
	Attribute("members", ArrayOf(Member), "Known processes of the fleet.")
	Attribute("pools", ArrayOf(PoolStatus), "Current pools.")
	Attribute("upstreams", ArrayOf(UpstreamStatus), "Current upstreams.")
	Required("address", "region", "data-centre", "ready", "revision", "open-requests", "store")
})

// Step is a step in the processing of a request.
var Step = Type("step", func() {
	Description("A step in the processing of a request.")
	Attribute("at-ms", Float64, "Milliseconds since the request arrived.")
	Attribute("name", String, "Kind of the step.")
	Attribute("upstream", String, "Upstream of the step.")
	Attribute("detail", String, "Predictions, token counts and errors.")
	Required("at-ms", "name")
})

// Explanation is the trace of a request.
var Explanation = Type("explanation", func() {
	Description("The trace of a request at this process.")
	Attribute("request-id", String, "Identifier of the request.")
	Attribute("class", String, "Class.")
	Attribute("organisation", String, "Organisation.")
	Attribute("tier", Int, "Tier.")
	Attribute("route", String, "Route that matched.")
	Attribute("pool", String, "Pool.")
	Attribute("outcome", String, "Outcome; empty while the request is in flight.")
	Attribute("steps", ArrayOf(Step), "Steps in order.")
	Required("request-id", "class", "organisation", "tier", "route", "pool", "outcome", "steps")
})

// Quarantined is the fingerprint of a suspect or quarantined request.
var Quarantined = Type("quarantined", func() {
	Description("A request that is suspect or quarantined because upstreams crashed while they processed it.")
	Attribute("fingerprint", String, "Fingerprint of the body or of the prompt part, in hexadecimal.")
	Attribute("state", String, "State: suspect or quarantined for a body, part-suspect or part-quarantined for a prompt part.")
	Attribute("until", String, "Time at which the entry expires, in RFC 3339.")
	Required("fingerprint", "state")
})

// The commands service changes state.
var _ = Service("commands", func() {
	Description("Edits the tables and removes quarantines.")
	Security(OperatorToken)
	Error("invalid", Problem, "The input is invalid; nothing was changed.")
	Error("conflict", Problem, "Another edit changed the same row.")
	Error("unavailable", Problem, "The store is unavailable; nothing was changed.")
	Error("unknown", Problem, "The reply of the store was lost; query the outcome of the edit by its identifier.")
	Error("unauthorized", Problem, "The token is missing or wrong.")
	Error("not-found", Problem, "The requested item doesn't exist.")
	HTTP(func() {
		Response("invalid", StatusUnprocessableEntity)
		Response("conflict", StatusConflict)
		Response("unavailable", StatusServiceUnavailable)
		Response("unknown", StatusBadGateway)
		Response("unauthorized", StatusUnauthorized)
		Response("not-found", StatusNotFound)
	})

	Method("apply", func() {
		Description("Replaces a table. The edit consists of the rows that differ from the base revision.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("table", TableName, "Table to edit.")
			Attribute("text", String, "The complete table, in TOML.", func() { MaxLength(16 << 20) })
			Attribute("base-revision", Int64, "Revision that the text is based on; 0 means the newest.")
			Attribute("edit-id", String, "Identifier chosen by the operator; generated if empty.", func() { MaxLength(64) })
			Attribute("author", String, "Author of the edit.", func() { MaxLength(128) })
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
		Description("Adds, replaces or removes single rows of the tables.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("text", String, "The rows, in TOML.", func() { MaxLength(16 << 20) })
			Attribute("edit-id", String, "Identifier chosen by the operator; generated if empty.", func() { MaxLength(64) })
			Attribute("author", String, "Author of the edit.", func() { MaxLength(128) })
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
		Description("Applies a new edit that restores the tables of an older revision or reverts a single edit.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("revision", Int64, "Revision to restore.")
			Attribute("only", Boolean, "Revert only the edit that created the revision after this one, and keep later edits.", func() { Default(false) })
			Attribute("author", String, "Author of the edit.", func() { MaxLength(128) })
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
		Description("Removes the quarantine of a request fingerprint.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("fingerprint", String, "Fingerprint, in hexadecimal.", func() { MaxLength(16) })
			Required("fingerprint")
		})
		HTTP(func() {
			DELETE("/v1/quarantine/{fingerprint}")
			Header("token:X-Operator-Token")
			Response(StatusNoContent)
		})
	})
})

// The queries service reads state.
var _ = Service("queries", func() {
	Description("Queries the tables, the status of this process and its requests.")
	Security(OperatorToken)
	Error("unavailable", Problem, "The store is unavailable.")
	Error("unauthorized", Problem, "The token is missing or wrong.")
	Error("not-found", Problem, "The requested item doesn't exist.")
	HTTP(func() {
		Response("unavailable", StatusServiceUnavailable)
		Response("unauthorized", StatusUnauthorized)
		Response("not-found", StatusNotFound)
	})

	Method("table", func() {
		Description("Returns the current text of a table.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("table", TableName, "Table.")
			Required("table")
		})
		Result(func() {
			Attribute("revision", Int64, "Current revision.")
			Attribute("text", String, "The table, in TOML.")
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
			Attribute("table", TableName, "Return only changes of this table.")
			Attribute("limit", Int, "Maximum number of entries to return.", func() {
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
		Description("Returns the outcome of an edit.")
		Payload(func() {
			APIKey("operator-token", "token", String)
			Attribute("edit-id", String, "Identifier of the edit.", func() { MaxLength(64) })
			Attribute("expect", Int64, "Value of expect in the error with the unknown outcome; 0 if not known.")
			Required("edit-id")
		})
		Result(func() {
			Attribute("fate", String, "Outcome: accepted, refused, not-accepted or unknown.")
			Attribute("revision", Int64, "Revision that an accepted edit created.")
			Attribute("reason", String, "Why the edit was rejected.")
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
			Attribute("to", Int64, "Newer revision; 0 means the current one.")
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
		Description("Returns the status of this process.")
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
		Description("Returns the trace of a request at this process.")
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
		Description("Returns the request fingerprints that are suspect or quarantined.")
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
