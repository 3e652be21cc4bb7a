package matrix

// Row is a fault, or a pair of faults that hit one step.
type Row string

// The rows of the table.
const (
	RowReclaimWave         Row = "Reclaim wave"
	RowRefusedStart        Row = "Refused start"
	RowDeathInReclaim      Row = "Death in the middle of a reclaim"
	RowStoreDown           Row = "Log down"
	RowStoreSlow           Row = "Log slow"
	RowEffectWithoutAnswer Row = "Effect without answer"
	RowHolderPaused        Row = "Holder paused"
	RowRacingOperators     Row = "Racing operators"
	RowCrashingRequest     Row = "Request that crashes backend servers"
	RowSilentConnection    Row = "Silent connection"
	RowCrossedAnswer       Row = "Crossed answer"
	RowPeersCutOneWay      Row = "Daemon cut from a peer, one way"
	RowPeersCutBothWays    Row = "Daemon cut from a peer, both ways"
	RowPlatformCutOneWay   Row = "Daemon cut from the log, answers only"
	RowPlatformCutBothWays Row = "Daemon cut from the log, both ways"
	RowStoreDownAndDeath   Row = "Log down and daemon death"
	RowEffectAndPause      Row = "Effect without answer and holder paused"
	RowReclaimAndSilence   Row = "Reclaim and silent connection"
	RowCutAndRace          Row = "Daemon cut and racing operators"
	RowDeathAndResend      Row = "Daemon death and request sent again"
)

// Rows returns the rows in the order of the table.
func Rows() []Row {
	return []Row{
		RowReclaimWave, RowRefusedStart, RowDeathInReclaim, RowStoreDown, RowStoreSlow,
		RowEffectWithoutAnswer, RowHolderPaused, RowRacingOperators, RowCrashingRequest,
		RowSilentConnection, RowCrossedAnswer, RowPeersCutOneWay, RowPeersCutBothWays, RowPlatformCutOneWay,
		RowPlatformCutBothWays, RowStoreDownAndDeath, RowEffectAndPause, RowReclaimAndSilence,
		RowCutAndRace, RowDeathAndResend,
	}
}
