package admission

// MaxUrgency is the urgency of the requests that are refused first.
const MaxUrgency = 9

// DefaultUrgency is the urgency of requests whose runner is told none.
const DefaultUrgency = 5

// excessClass is the class of requests beyond the usual load of their customers. It comes after all
// urgencies.
const excessClass = MaxUrgency + 1

// classCount is the number of classes.
const classCount = excessClass + 1

// Urgency maps a priority to an urgency. priorities holds those of the routes and customers of one
// service in increasing order, without repetition. The urgencies lie around DefaultUrgency in the same
// order.
func Urgency(priorities []int, priority int) int {
	rank := 0
	for _, other := range priorities {
		if other < priority {
			rank++
		}
	}
	if count := len(priorities); count > MaxUrgency+1 {
		return min(rank, count-1) * MaxUrgency / (count - 1)
	}
	return min(DefaultUrgency-len(priorities)/2+rank, MaxUrgency)
}

// byClass holds a number for each class.
type byClass [classCount]float64

// divide returns the share of each class that is admitted. mix holds the requests of each class, and
// budgets how many of the requests of that class and all before it may be admitted, which does not
// grow from class to class. Each class gets minShare of its requests, unless the budget of the first
// one is lower, and the rest goes to the classes in order, so that no class gets a higher share than
// one before it.
func divide(budgets byClass, minShare float64, mix byClass) byClass {
	total := mix.sum()
	if total <= 0 {
		total = 1
	}
	floor := min(minShare, max(budgets[0]/total, 0))
	var shares byClass
	// used counts what is admitted of the earlier classes, and reserved the floors of the later ones.
	used, reserved := 0.0, floor*mix.sum()
	highest := 1.0
	for class, part := range mix {
		reserved -= floor * part
		left := budgets[class] - used - reserved
		share := highest
		if left < part*highest && part > 0 {
			share = max(left/part, floor)
		}
		shares[class], highest = min(share, highest), min(share, highest)
		used += shares[class] * part
	}
	return shares
}

func (b byClass) sum() float64 {
	total := 0.0
	for _, part := range b {
		total += part
	}
	return total
}

// uniform returns the same number for each class.
func uniform(value float64) byClass {
	var b byClass
	for class := range b {
		b[class] = value
	}
	return b
}
