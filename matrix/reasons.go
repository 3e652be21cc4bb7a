package matrix

// The reasons why a cell has no case.
const (
	reasonNoCase       = "no case yet"
	reasonNoPlatform   = "a request uses the log for its claim and its release only; both are caused by the claim and choose cells"
	reasonNoStart      = "a request starts no VM; the refused start shows when a backend server is chosen"
	reasonNoBackendYet = "no backend server has the request yet"
	reasonNoConnection = "the step opens no connection"
	reasonPlanCopied   = "the request carries the allowance that it was accepted with"
	reasonNoReclaim    = "the step uses no VM that can be reclaimed but the daemon; its death has rows of its own"
	reasonNoRequest    = "a configuration runs no request"
	reasonNoLease      = "the configuration has no holder; any daemon does the step at any time"
	reasonNoWrite      = "the step appends nothing to the log"
	reasonNoOperators  = "the step follows the verdict, which the order of the log has given"
	reasonNoPeers      = "the step uses the log and no peer"
	reasonLogIsCut     = "a boot without the log is the case of the rows of the log"
	reasonNoResend     = "operators repeat a change by its identity, in the row Effect without answer"
	reasonNoCaller     = "an order is no request of a caller"
	reasonOrderNoPeers = "leases and orders use the log and the engines, and no peer"
	reasonNextRound    = "each round takes the configuration as it is; a change shows in the next round"
	reasonOperatorOnly = "the step is the operator's own, without a daemon"
)

// reasons holds, by row and step, why a cell of a request or of a configuration has
// no case. Steps that are not listed have a case.
var reasons = map[Row]map[Step]string{
	RowReclaimWave:    allConfigurationSteps(reasonNoReclaim),
	RowRefusedStart:   allConfigurationSteps(reasonNoStart),
	RowDeathInReclaim: allConfigurationSteps(reasonNoReclaim),
	RowLogDown:        {},
	RowLogSlow:        {},
	RowEffectWithoutAnswer: {
		StepFold: reasonNoWrite, StepSpread: reasonNoWrite, StepBoot: reasonNoWrite,
	},
	RowHolderPaused: {
		StepPublish: reasonOperatorOnly, StepAppend: reasonOperatorOnly,
	},
	RowRacingOperators: merge(allRequestSteps(reasonPlanCopied), map[Step]string{
		StepAccept: reasonPlanCopied, StepSpread: reasonNoOperators, StepBoot: reasonNoOperators,
	}),
	RowCrashingRequest: merge(allConfigurationSteps(reasonNoRequest), map[Step]string{
		StepAccept: reasonNoBackendYet, StepClaim: reasonNoBackendYet, StepChoose: reasonNoBackendYet,
	}),
	RowSilentConnection: {
		StepChoose:  reasonNoConnection,
		StepPublish: reasonOperatorOnly, StepFold: reasonNoConnection,
	},
	RowSilenceAndRejections: merge(allConfigurationSteps(reasonNoRequest), map[Step]string{
		StepAccept: reasonNoBackendYet, StepClaim: reasonNoBackendYet, StepChoose: reasonNoBackendYet,
	}),
	RowCrossedAnswer: merge(allConfigurationSteps(reasonNoRequest), map[Step]string{
		StepAccept: reasonNoBackendYet, StepClaim: reasonNoBackendYet, StepChoose: reasonNoBackendYet,
	}),
	RowPeersCutOneWay:   {StepPublish: reasonNoPeers, StepAppend: reasonNoPeers, StepFold: reasonNoPeers, StepSnapshot: reasonNoPeers},
	RowPeersCutBothWays: {StepPublish: reasonNoPeers, StepAppend: reasonNoPeers, StepFold: reasonNoPeers, StepSnapshot: reasonNoPeers},
	RowLogCutOneWay:     {StepPublish: reasonOperatorOnly, StepAppend: reasonOperatorOnly},
	RowLogCutBothWays:   {StepPublish: reasonOperatorOnly, StepAppend: reasonOperatorOnly},
	RowLogDownAndDeath:  {StepPublish: reasonOperatorOnly, StepAppend: reasonOperatorOnly, StepFold: reasonNoWrite},
	RowEffectAndPause: {
		StepPublish: reasonOperatorOnly, StepAppend: reasonOperatorOnly,
		StepFold: reasonNoWrite, StepSpread: reasonNoWrite, StepBoot: reasonNoWrite,
	},
	RowReclaimAndSilence: merge(allConfigurationSteps(reasonNoReclaim), map[Step]string{
		StepAccept: reasonNoBackendYet, StepClaim: reasonNoBackendYet, StepChoose: reasonNoConnection,
	}),
	RowCutAndRace:     merge(allRequestSteps(reasonPlanCopied), map[Step]string{StepPublish: reasonOperatorOnly, StepBoot: reasonNoOperators}),
	RowDeathAndResend: allConfigurationSteps(reasonNoResend),
}

// orderReasons holds one reason for all steps of an order, by row.
var orderReasons = map[Row]string{
	RowRacingOperators: reasonNextRound,
	RowCrashingRequest: reasonNoCaller,
	RowCrossedAnswer:   reasonNoCaller,

	RowSilenceAndRejections: reasonNoCaller,
	RowPeersCutOneWay:       reasonOrderNoPeers,
	RowPeersCutBothWays:     reasonOrderNoPeers,
	RowCutAndRace:           reasonNextRound,
	RowDeathAndResend:       reasonNoCaller,
}

// reasonOf returns why the fault cannot occur at the step, or "".
func reasonOf(row Row, subject Subject, step Step) string {
	if subject == SubjectOrder {
		return orderReasons[row]
	}
	return reasons[row][step]
}

func allRequestSteps(reason string) map[Step]string { return allSteps(SubjectRequest, reason) }

func allConfigurationSteps(reason string) map[Step]string {
	return allSteps(SubjectConfiguration, reason)
}

func allSteps(subject Subject, reason string) map[Step]string {
	all := make(map[Step]string)
	for _, step := range Steps(subject) {
		all[step] = reason
	}
	return all
}

func merge(maps ...map[Step]string) map[Step]string {
	all := make(map[Step]string)
	for _, one := range maps {
		for step, reason := range one {
			all[step] = reason
		}
	}
	return all
}
