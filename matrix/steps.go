package matrix

// Subject is what passes through the steps: a request, a configuration or an order.
type Subject string

// The subjects.
const (
	SubjectRequest       Subject = "Request"
	SubjectConfiguration Subject = "Configuration"
	SubjectOrder         Subject = "Order"
)

// Step is a column of the table.
type Step string

// The steps of a request.
const (
	// StepAccept is before the dispatcher gets the request.
	StepAccept Step = "Accept"
	// StepClaim is the append of the claim.
	StepClaim Step = "Claim"
	// StepChoose is the choice of a backend server.
	StepChoose Step = "Choose"
	// StepDispatch is after a backend server has read the request.
	StepDispatch Step = "Dispatch"
	// StepFirstToken is between the header of the answer and its first part.
	StepFirstToken Step = "FirstToken"
	// StepStream is in the middle of the answer.
	StepStream Step = "Stream"
	// StepAnswer is before the end of the answer.
	StepAnswer Step = "Answer"
	// StepDrain is in the middle of the answer, after the daemon has started to
	// drain.
	StepDrain Step = "Drain"
)

// The steps of a configuration.
const (
	// StepPublish is before an operator submits a change.
	StepPublish Step = "Publish"
	// StepAppend is the append of the change to the log.
	StepAppend Step = "Append"
	// StepFold is between the append of the change and its application to the state
	// of a daemon.
	StepFold Step = "Fold"
	// StepSnapshot is the append of a snapshot to the log.
	StepSnapshot Step = "Snapshot"
	// StepSpread is the transfer of the state from peers to a daemon that cannot
	// read the log.
	StepSpread Step = "Spread"
	// StepBoot is the start of a new daemon.
	StepBoot Step = "Boot"
)

// The steps of an order under a lease.
const (
	// StepLease is the append that requests the lease.
	StepLease Step = "Lease"
	// StepOrder is the arrival of an order at a runner.
	StepOrder Step = "Order"
	// StepReconcile is the request of a runner's load report by the daemon that takes
	// over the duty.
	StepReconcile Step = "Reconcile"
	// stepReserve is between the check of the lease and the order. It is no column
	// of the table.
	stepReserve Step = "Reserve"
)

// Steps returns the steps of a subject in the order of the columns.
func Steps(subject Subject) []Step {
	switch subject {
	case SubjectRequest:
		return []Step{
			StepAccept, StepClaim, StepChoose, StepDispatch,
			StepFirstToken, StepStream, StepAnswer, StepDrain,
		}
	case SubjectConfiguration:
		return []Step{StepPublish, StepAppend, StepFold, StepSnapshot, StepSpread, StepBoot}
	}
	return []Step{StepLease, StepOrder, StepReconcile}
}

// Subjects returns the subjects in the order of the columns.
func Subjects() []Subject {
	return []Subject{SubjectRequest, SubjectConfiguration, SubjectOrder}
}
