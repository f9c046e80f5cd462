package kingcuphook

// SilenceEvidence is what shows that a silent upstream may be given up for another one.
type SilenceEvidence string

// Values of SilenceEvidence.
const (
	// SilenceEvidenceNone means that the upstream may be sound and still run the request.
	SilenceEvidenceNone SilenceEvidence = ""
	// SilenceEvidenceGone means that the program of the upstream has ended: its address refuses
	// connections, or another program has it.
	SilenceEvidenceGone SilenceEvidence = "program-gone"
	// SilenceEvidenceCut means that this router doesn't reach the upstream any more, but peers do.
	SilenceEvidenceCut SilenceEvidence = "path-cut"
	// SilenceEvidenceActive means that the upstream goes on with other requests, so that it drops
	// one whose connection is closed.
	SilenceEvidenceActive SilenceEvidence = "others-answered"
	// SilenceEvidenceLong means that the silence is longer than that of a sound upstream.
	SilenceEvidenceLong SilenceEvidence = "long-silence"
)
