package logger

// Level is the severity of an event.
type Level string

// Values of Level.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Event is a kind of log event. Numbers are never reused for another meaning.
type Event struct {
	// Number is unique. It is logged as KCH followed by the number.
	Number int
	// Level is the level of the log line.
	Level Level
	// Message describes what happened.
	Message string
}

// The events of the router. docs/EVENTS.md lists them; TestCatalogueMatchesDocs keeps
// both in step.
var (
	Started               = Event{1001, LevelInfo, "router started"}
	Ready                 = Event{1002, LevelInfo, "router is ready"}
	Stopping              = Event{1003, LevelInfo, "graceful shutdown started; the router is no longer ready"}
	Stopped               = Event{1004, LevelInfo, "router stopped"}
	ListenFailed          = Event{1005, LevelError, "failed to listen on an address"}
	CertificateReloaded   = Event{1006, LevelInfo, "certificate reloaded after a change"}
	CertificateRejected   = Event{1007, LevelError, "failed to reload the certificate; the previous one stays in use"}
	TablesApplied         = Event{1101, LevelInfo, "tables applied"}
	TablesRejected        = Event{1102, LevelError, "tables rejected; the previous ones stay in use"}
	TablesOlder           = Event{1103, LevelWarn, "the store holds older or conflicting tables; ignored"}
	StoreUnavailable      = Event{1104, LevelWarn, "store unavailable; the router continues with its current tables"}
	StoreAvailable        = Event{1105, LevelInfo, "store available again"}
	EditAccepted          = Event{1106, LevelInfo, "edit of the tables accepted"}
	EditRejected          = Event{1107, LevelWarn, "edit of the tables rejected"}
	TablesForked          = Event{1108, LevelError, "applied tables do not descend from the previous ones"}
	StoreWatchStarted     = Event{1109, LevelInfo, "the router started watching the store"}
	StoreWatchStopped     = Event{1110, LevelInfo, "the router stopped watching the store"}
	StoreRestored         = Event{1111, LevelWarn, "the store has come back from an older copy"}
	RequestAnswered       = Event{1203, LevelInfo, "request answered"}
	RequestAssigned       = Event{1204, LevelInfo, "request assigned to an upstream"}
	AttemptFailed         = Event{1205, LevelInfo, "attempt failed"}
	CrashSuspected        = Event{1206, LevelInfo, "request suspected of the crash of its upstream"}
	ServerError           = Event{1207, LevelWarn, "HTTP server reported an error"}
	ResponseFailed        = Event{1208, LevelWarn, "response could not be written although the caller is connected"}
	StreamResumed         = Event{1209, LevelInfo, "call resumes a stream"}
	RequestRelayed        = Event{1211, LevelInfo, "request sent through a peer"}
	CrashWithdrawn        = Event{1212, LevelInfo, "crash withdrawn, since its upstream goes on"}
	ResumptionRefused     = Event{1210, LevelInfo, "call that resumes a stream refused"}
	MemoryRefused         = Event{1213, LevelInfo, "request refused, since the memory budget has no room for it"}
	HeadRefused           = Event{1214, LevelInfo, "head of a request refused while it was being read"}
	StreamMoved           = Event{1217, LevelInfo, "stream moved with its KV memory off an upstream that leaves"}
	StreamMoveFailed      = Event{1218, LevelInfo, "stream not moved off an upstream that leaves"}
	CrossingRefused       = Event{1216, LevelInfo, "request that came while its idle connection was being closed refused"}
	UpstreamsUpdated      = Event{1303, LevelInfo, "upstreams updated"}
	UpstreamPaused        = Event{1305, LevelInfo, "upstream asked for a pause"}
	RegistrationRejected  = Event{1304, LevelWarn, "registration of an upstream rejected; the upstream is not used"}
	SettingsChecked       = Event{1008, LevelInfo, "settings file checked; a shorter grace time takes effect, other changes do at the next start"}
	SettingsRejected      = Event{1009, LevelError, "settings file is invalid; the process keeps its settings"}
	StoreUpdateReceived   = Event{1404, LevelInfo, "store update received from a peer"}
	RelayEnded            = Event{1405, LevelInfo, "connection relayed for a peer ended"}
	RelayRefused          = Event{1406, LevelInfo, "connection for a peer refused"}
	ServedRejected        = Event{1407, LevelWarn, "tokens served to organisations, from a peer, rejected"}
	StopIncomplete        = Event{1011, LevelWarn, "graceful shutdown ended with requests in flight"}
	CallsEnded            = Event{1012, LevelWarn, "requests still in flight at the end of a graceful shutdown were ended with an error"}
	RequestFailed         = Event{1201, LevelInfo, "request failed"}
	RequestPanicked       = Event{1202, LevelError, "request handler panicked"}
	RequestNotAssigned    = Event{1215, LevelInfo, "request not assigned to an upstream in the time that it may wait"}
	UpstreamLeaving       = Event{1302, LevelInfo, "upstream is leaving"}
	RateLimitChanged      = Event{1306, LevelInfo, "rate limit of an upstream changed"}
	PathCut               = Event{1307, LevelWarn, "path to an upstream is cut; a peer reaches it"}
	PathDirect            = Event{1308, LevelInfo, "upstream is reached directly again"}
	PathDown              = Event{1309, LevelInfo, "upstream is reached neither directly nor through peers"}
	PlacesChanged         = Event{1310, LevelInfo, "brittle upstream: what bounds its open requests changed"}
	PeerFailed            = Event{1401, LevelDebug, "exchange with a peer failed"}
	PeerJoined            = Event{1402, LevelInfo, "peer joined"}
	PeerLeft              = Event{1403, LevelInfo, "peer left"}
	LeaseAcquired         = Event{1501, LevelInfo, "lease acquired"}
	LeaseLost             = Event{1502, LevelWarn, "lease lost"}
	OrderSent             = Event{1503, LevelInfo, "order sent to an upstream"}
	OrderFailed           = Event{1504, LevelWarn, "order to an upstream failed"}
	DutyCallFailed        = Event{1505, LevelWarn, "call of a duty to the platform failed"}
	CapacityOrdered       = Event{1521, LevelInfo, "number of upstreams ordered"}
	CapacityOrderFailed   = Event{1522, LevelWarn, "order for a number of upstreams failed or was refused"}
	PartStateChanged      = Event{1603, LevelWarn, "state of a prompt part changed that is suspected of crashing upstreams"}
	PartRecordFailed      = Event{1604, LevelWarn, "record of a quarantined prompt part not written"}
	PartRecordRejected    = Event{1605, LevelWarn, "record of a prompt part in the store rejected"}
	PartTried             = Event{1606, LevelWarn, "request with a quarantined prompt part let through on trial"}
	BodyRecordFailed      = Event{1607, LevelWarn, "record of a quarantined body not written"}
	BodyRecordRejected    = Event{1608, LevelWarn, "record of a body in the store rejected"}
	PartTrialVoid         = Event{1609, LevelInfo, "trial of a quarantined prompt part taken back, since it ended without a verdict"}
	QuarantineLifted      = Event{1602, LevelInfo, "quarantine lifted by an operator"}
	StreamOriginFound     = Event{1701, LevelInfo, "found which software version began a stream that a caller resumes"}
	StreamOriginUnknown   = Event{1702, LevelInfo, "not known which software version began a stream that a caller resumes"}
	VersionsRecorded      = Event{1703, LevelInfo, "record of the software versions of a pool written"}
	VersionRecordRejected = Event{1704, LevelWarn, "record of software versions or of streams in the store rejected"}
	VersionStoreFailed    = Event{1705, LevelInfo, "call to the store for software versions or streams failed"}
	StreamHeld            = Event{1706, LevelInfo, "first event of a stream passed on after the wait for the record of the stream"}
	BasesGuarded          = Event{1707, LevelInfo, "found whether all routers guard the bases of records of versions"}
	SenderChecked         = Event{1708, LevelInfo, "registration read to find the software version of a program that sends a stream"}
	StreamNotQueued       = Event{1709, LevelInfo, "stream runs at the base of its pool, since the ledger did not get it in time as queued for another version"}
	UsageRejected         = Event{1801, LevelWarn, "counts of a router for a window of usage rejected"}
	UsageRecordFailed     = Event{1802, LevelWarn, "record of the windows of usage not read or not written"}
	UsageReportFailed     = Event{1803, LevelWarn, "report of a window of usage failed"}
	UsageReported         = Event{1804, LevelDebug, "window of usage reported"}
	UsageTimeLost         = Event{1805, LevelInfo, "time of day of the fleet is estimated again after a step of a clock or a suspension"}
)

// Catalogue returns all events in ascending order of their numbers.
func Catalogue() []Event {
	return []Event{
		Started,
		Ready,
		Stopping,
		Stopped,
		ListenFailed,
		CertificateReloaded,
		CertificateRejected,
		SettingsChecked,
		SettingsRejected,
		StopIncomplete,
		CallsEnded,
		TablesApplied,
		TablesRejected,
		TablesOlder,
		StoreUnavailable,
		StoreAvailable,
		EditAccepted,
		EditRejected,
		TablesForked,
		StoreWatchStarted,
		StoreWatchStopped,
		StoreRestored,
		RequestFailed,
		RequestPanicked,
		RequestAnswered,
		RequestAssigned,
		AttemptFailed,
		CrashSuspected,
		ServerError,
		ResponseFailed,
		StreamResumed,
		ResumptionRefused,
		RequestRelayed,
		CrashWithdrawn,
		MemoryRefused,
		HeadRefused,
		RequestNotAssigned,
		CrossingRefused,
		StreamMoved,
		StreamMoveFailed,
		UpstreamLeaving,
		UpstreamsUpdated,
		RegistrationRejected,
		UpstreamPaused,
		RateLimitChanged,
		PathCut,
		PathDirect,
		PathDown,
		PlacesChanged,
		PeerFailed,
		PeerJoined,
		PeerLeft,
		StoreUpdateReceived,
		RelayEnded,
		RelayRefused,
		ServedRejected,
		LeaseAcquired,
		LeaseLost,
		OrderSent,
		OrderFailed,
		DutyCallFailed,
		CapacityOrdered,
		CapacityOrderFailed,
		QuarantineLifted,
		PartStateChanged,
		PartRecordFailed,
		PartRecordRejected,
		PartTried,
		BodyRecordFailed,
		BodyRecordRejected,
		PartTrialVoid,
		StreamOriginFound,
		StreamOriginUnknown,
		VersionsRecorded,
		VersionRecordRejected,
		VersionStoreFailed,
		StreamHeld,
		BasesGuarded,
		SenderChecked,
		StreamNotQueued,
		UsageRejected,
		UsageRecordFailed,
		UsageReportFailed,
		UsageReported,
		UsageTimeLost,
	}
}
