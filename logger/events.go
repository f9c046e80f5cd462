package logger

// Level is how much an event matters.
type Level string

// Values of Level.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Event is one kind of log event. Its number never changes its meaning.
type Event struct {
	// Number is unique; it is logged as KCH followed by the number.
	Number int
	// Level is the level it is logged at.
	Level Level
	// Message says what happened.
	Message string
}

// The events of the router. docs/EVENTS.md lists them, and a test compares both.
var (
	Started          = Event{1001, LevelInfo, "router started"}
	Ready            = Event{1002, LevelInfo, "router is ready"}
	Stopping         = Event{1003, LevelInfo, "planned stop begun; the router is not ready"}
	Stopped          = Event{1004, LevelInfo, "all requests ended; the router stops"}
	ListenFailed     = Event{1005, LevelError, "can't listen on an address"}
	CertificateRead  = Event{1006, LevelInfo, "certificate read again after a change"}
	CertificateBad   = Event{1007, LevelError, "changed certificate refused; the old one stays in force"}
	TablesInForce    = Event{1101, LevelInfo, "tables in force"}
	TablesBad        = Event{1102, LevelError, "tables refused; the old ones stay in force"}
	TablesOlder      = Event{1103, LevelWarn, "the store returned older tables; not followed"}
	StoreUnavailable = Event{1104, LevelWarn, "the store can't be reached; what is in force goes on"}
	StoreAvailable   = Event{1105, LevelInfo, "the store can be reached again"}
	EditAccepted     = Event{1106, LevelInfo, "edit of the tables accepted"}
	EditRefused      = Event{1107, LevelWarn, "edit of the tables refused"}
	TablesForked     = Event{1108, LevelError, "tables in force do not descend from those before"}
	StoreFollowed    = Event{1109, LevelInfo, "the router follows the store itself"}
	StoreLeft        = Event{1110, LevelInfo, "the router leaves it to others to follow the store"}
	RequestAnswered  = Event{1203, LevelInfo, "request answered"}
	RequestAssigned  = Event{1204, LevelInfo, "upstream chosen for a request"}
	AttemptFailed    = Event{1205, LevelInfo, "attempt failed"}
	UpstreamsChanged = Event{1303, LevelInfo, "upstreams in force"}
	UpstreamRests    = Event{1305, LevelInfo, "upstream wants no new work for a time"}
	UpstreamBad      = Event{1304, LevelWarn, "registration of an upstream refused; it names no upstream"}
	SettingsRead     = Event{1008, LevelInfo, "settings read again"}
	SettingsBad      = Event{1009, LevelError, "changed settings refused; the old ones stay in force"}
	PeerAsked        = Event{1404, LevelInfo, "news of the store taken from a peer"}
	StopCut          = Event{1011, LevelWarn, "planned stop ends with requests open"}
	RequestFailed    = Event{1201, LevelInfo, "request failed"}
	RequestPanicked  = Event{1202, LevelError, "request handler panicked"}
	UpstreamLeaving  = Event{1302, LevelInfo, "upstream says that it is leaving"}
	PeerFailed       = Event{1401, LevelDebug, "exchange with a peer failed"}
	PeerJoined       = Event{1402, LevelInfo, "peer joined"}
	PeerLeft         = Event{1403, LevelInfo, "peer left"}
	LeaseTaken       = Event{1501, LevelInfo, "lease taken"}
	LeaseLost        = Event{1502, LevelWarn, "lease lost"}
	OrderGiven       = Event{1503, LevelInfo, "order given to an upstream"}
	OrderFailed      = Event{1504, LevelWarn, "order to an upstream failed"}
	QuarantineLifted = Event{1602, LevelInfo, "quarantine lifted by an operator"}
)

// Catalogue returns every event in order of number.
func Catalogue() []Event {
	return []Event{
		Started,
		Ready,
		Stopping,
		Stopped,
		ListenFailed,
		CertificateRead,
		CertificateBad,
		SettingsRead,
		SettingsBad,
		StopCut,
		TablesInForce,
		TablesBad,
		TablesOlder,
		StoreUnavailable,
		StoreAvailable,
		EditAccepted,
		EditRefused,
		TablesForked,
		StoreFollowed,
		StoreLeft,
		RequestFailed,
		RequestPanicked,
		RequestAnswered,
		RequestAssigned,
		AttemptFailed,
		UpstreamLeaving,
		UpstreamsChanged,
		UpstreamBad,
		UpstreamRests,
		PeerFailed,
		PeerJoined,
		PeerLeft,
		PeerAsked,
		LeaseTaken,
		LeaseLost,
		OrderGiven,
		OrderFailed,
		QuarantineLifted,
	}
}
