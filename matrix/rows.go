package matrix

// Row is a row of the table: a fault, or a pair of faults injected at one step.
type Row string

// The rows of the table.
const (
	// RowReclaimWave is a reclaim notice for all runners of a zone.
	RowReclaimWave Row = "Reclaim wave"
	// RowRefusedStart is a lack of runners, since the cloud starts no new VM.
	RowRefusedStart   Row = "Refused start"
	RowDeathInReclaim Row = "Death in the middle of a reclaim"
	RowLogDown        Row = "Log down"
	RowLogSlow        Row = "Log slow"
	// RowEffectWithoutAnswer is an operation that takes effect and loses its answer.
	RowEffectWithoutAnswer Row = "Effect without answer"
	// RowHolderPaused is a pause of the daemon that runs the step. The other daemons
	// go on, and the paused one resumes with outdated state.
	RowHolderPaused    Row = "Holder paused"
	RowRacingOperators Row = "Racing operators"
	RowCrashingRequest Row = "Request that crashes backend servers"
	// RowSilentConnection is a connection that stays open and delivers nothing.
	RowSilentConnection Row = "Silent connection"
	// RowSilenceAndRejections is a backend server that is silent for a while and goes on.
	// The other ones reject all requests meanwhile, with bodies that stall.
	RowSilenceAndRejections Row = "Silence for a while, others reject"
	// RowCrossedAnswer is a backend server that returns the answer to another request.
	RowCrossedAnswer     Row = "Crossed answer"
	RowPeersCutOneWay    Row = "Daemon cut from a peer, one way"
	RowPeersCutBothWays  Row = "Daemon cut from a peer, both ways"
	RowLogCutOneWay      Row = "Daemon cut from the log, answers only"
	RowLogCutBothWays    Row = "Daemon cut from the log, both ways"
	RowLogDownAndDeath   Row = "Log down and daemon death"
	RowEffectAndPause    Row = "Effect without answer and holder paused"
	RowReclaimAndSilence Row = "Reclaim and silent connection"
	RowCutAndRace        Row = "Daemon cut and racing operators"
	RowDeathAndResend    Row = "Daemon death and request sent again"
)

// Rows returns the rows in the order of the table.
func Rows() []Row {
	return []Row{
		RowReclaimWave, RowRefusedStart, RowDeathInReclaim, RowLogDown, RowLogSlow,
		RowEffectWithoutAnswer, RowHolderPaused, RowRacingOperators, RowCrashingRequest,
		RowSilentConnection, RowSilenceAndRejections, RowCrossedAnswer, RowPeersCutOneWay, RowPeersCutBothWays, RowLogCutOneWay,
		RowLogCutBothWays, RowLogDownAndDeath, RowEffectAndPause, RowReclaimAndSilence,
		RowCutAndRace, RowDeathAndResend,
	}
}
