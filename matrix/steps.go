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
	StepPublish  Step = "Publish"
	StepAppend   Step = "Append"
	StepFold     Step = "Fold"
	StepSnapshot Step = "Snapshot"
	StepSpread   Step = "Spread"
	StepBoot     Step = "Boot"
)

// The steps of an order under a lease.
const (
	StepLease     Step = "Lease"
	StepOrder     Step = "Order"
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
