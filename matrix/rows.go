package matrix

// Row is a row of the table: a fault, or a pair of faults injected at one step.
type Row string

// The rows of the table.
const (
	RowReclaimWave         Row = "Reclaim wave"
	RowRefusedStart        Row = "Refused start"
	RowDeathInReclaim      Row = "Death in the middle of a reclaim"
	RowLogDown             Row = "Log down"
	RowLogSlow             Row = "Log slow"
	RowEffectWithoutAnswer Row = "Effect without answer"
	RowHolderPaused        Row = "Holder paused"
	RowRacingOperators     Row = "Racing operators"
	RowCrashingRequest     Row = "Request that crashes backend servers"
	RowSilentConnection    Row = "Silent connection"
	RowCrossedAnswer       Row = "Crossed answer"
	RowPeersCutOneWay      Row = "Daemon cut from a peer, one way"
	RowPeersCutBothWays    Row = "Daemon cut from a peer, both ways"
	RowLogCutOneWay        Row = "Daemon cut from the log, answers only"
	RowLogCutBothWays      Row = "Daemon cut from the log, both ways"
	RowLogDownAndDeath     Row = "Log down and daemon death"
	RowEffectAndPause      Row = "Effect without answer and holder paused"
	RowReclaimAndSilence   Row = "Reclaim and silent connection"
	RowCutAndRace          Row = "Daemon cut and racing operators"
	RowDeathAndResend      Row = "Daemon death and request sent again"
)

// Rows returns the rows in the order of the table.
func Rows() []Row {
	return []Row{
		RowReclaimWave, RowRefusedStart, RowDeathInReclaim, RowLogDown, RowLogSlow,
		RowEffectWithoutAnswer, RowHolderPaused, RowRacingOperators, RowCrashingRequest,
		RowSilentConnection, RowCrossedAnswer, RowPeersCutOneWay, RowPeersCutBothWays, RowLogCutOneWay,
		RowLogCutBothWays, RowLogDownAndDeath, RowEffectAndPause, RowReclaimAndSilence,
		RowCutAndRace, RowDeathAndResend,
	}
}
