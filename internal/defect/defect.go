// Package defect takes single guards out of a node, so that the fault soak can show
// that it finds what each guards against. That works only in builds with the tag
// "defects", where the environment variable Variable names the defect. In all other
// builds On is constant and the compiler leaves nothing of it.
package defect

// Variable names the environment variable that chooses the defect of a process.
const Variable = "MARLPASS_DEFECT"

// Name is one defect.
type Name string

// The defects.
const (
	// ResendUnknown sends a call that must run once again after an attempt that
	// may have run.
	ResendUnknown Name = "resend-unknown"
	// RefuseUnknown tells callers that a call was not run when nobody knows.
	RefuseUnknown Name = "refuse-unknown"
	// KeepCaller passes on what the caller says of where its call began.
	KeepCaller Name = "keep-caller"
	// ForgetLeaving acknowledges that a backend server is leaving, and goes on
	// sending it calls.
	ForgetLeaving Name = "forget-leaving"
	// StopAtOnce ends a planned stop without waiting for calls in flight.
	StopAtOnce Name = "stop-at-once"
	// IgnoreLimit sends a backend server more calls than the rate limit that it advertises.
	IgnoreLimit Name = "ignore-limit"
	// ForgetLimitAtRestart ignores what other nodes know of a backend server's rate limit.
	ForgetLimitAtRestart Name = "forget-limit-at-restart"
	// IgnoreLeavingAnswer goes on sending calls to a backend server that says in its answers
	// that it leaves.
	IgnoreLeavingAnswer Name = "ignore-leaving-answer"
	// IgnoreRetryBudget sends calls again although the budget for retries is spent.
	IgnoreRetryBudget Name = "ignore-retry-budget"
	// IgnoreQuota admits calls of workspaces that have used up their quota.
	IgnoreQuota Name = "ignore-quota"
	// ForgetDepartures ignores, after a restart, that backend servers have said that they leave.
	ForgetDepartures Name = "forget-departures"
	// PromoteUncompared moves calls to a version without comparing it with the one before.
	PromoteUncompared Name = "promote-uncompared"
	// KeepKey passes on the key of a call, and the workspace that its caller names.
	KeepKey Name = "keep-key"
	// LoosePrefix takes a path for one that begins with a prefix that has a slash more.
	LoosePrefix Name = "loose-prefix"
	// RefuseUnusual refuses versions that operators could not write through marlpass.
	RefuseUnusual Name = "refuse-unusual"
	// VouchForHeld vouches for the version in force by what is known of the newest one.
	VouchForHeld Name = "vouch-for-held"
	// MissLeavers does not notice clients that leave while nothing reads from their connections.
	MissLeavers Name = "miss-leavers"
	// IgnoreMemory handles requests for which there is no memory.
	IgnoreMemory Name = "ignore-memory"
	// IgnoreConnLimits accepts and opens connections without a bound.
	IgnoreConnLimits Name = "ignore-conn-limits"
	// PassMalformed passes on answers that are none in the protocol.
	PassMalformed Name = "pass-malformed"
	// MissResets takes an answer that a reset has cut for whole, where a write learnt of the reset.
	MissResets Name = "miss-resets"
	// KeepBlankNames takes requests with blanks in the names of headers.
	KeepBlankNames Name = "keep-blank-names"
)

// All lists the defects.
var All = []Name{
	ResendUnknown, RefuseUnknown, KeepCaller, ForgetLeaving, StopAtOnce,
	IgnoreLimit, ForgetLimitAtRestart, IgnoreLeavingAnswer, IgnoreRetryBudget,
	IgnoreQuota, ForgetDepartures, PromoteUncompared, KeepKey,
	LoosePrefix, RefuseUnusual, VouchForHeld, MissLeavers,
	IgnoreMemory, IgnoreConnLimits, PassMalformed, MissResets, KeepBlankNames,
}
