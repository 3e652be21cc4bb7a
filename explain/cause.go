package explain

import "fmt"

// reasonTexts describes the values of the Reason field of RequestEnded.
var reasonTexts = map[string]string{
	"Answered":          "A runner's complete response was forwarded to the caller.",
	"NoConfiguration":   "The daemon had just started and had no configuration yet; the request was not run.",
	"BadHeader":         "A header field of the request is invalid.",
	"LongHeader":        "The header fields are larger than the configuration allows.",
	"NoRoute":           "No route of the current configuration matches the host and path.",
	"UnknownKey":        "No customer of the current configuration has the API key.",
	"LongBody":          "The body is larger than the configuration allows.",
	"BrokenBody":        "The caller did not send the complete body.",
	"CrashesRunners":    "Requests with this content, or with the same segments of their prompts, have crashed runners before, so they are no longer sent to any.",
	"NoCapacity":        "More requests arrived for the service than its runners could answer, and this one was among those refused; the request was not run.",
	"DeadlineTooNear":   "The runners of the service were occupied, and the request would have been answered after its deadline; the request was not run.",
	"QuotaExceeded":     "The customer's quota, counted over all daemons, was used up; the request was not run.",
	"NoRunner":          "No runner of the service accepted requests, or all that did had already failed this one.",
	"VersionUnknown":    "The caller had events of a stream, and the version that began it was not known; the request was not run.",
	"NoRunnerOfVersion": "The caller had events of one software version, and no runner of that version accepted requests.",
	"RunnersLimited":    "All runners of the service that could be reached have named how many requests they take, and this daemon had used up its share; the request was not run.",
	"RunLost":           "The runner was leaving; its run was stopped, and neither the new runner nor the old one could continue it.",
	"CallerNotWritable": "Events could not be written to the caller, whose connection was still open.",
	"MayHaveRun":        "The attempt failed after the request was written to the runner, and the route does not allow it to run twice.",
	"AttemptsUsedUp":    "All attempts that the route allows failed.",
	"RetryBudgetUsedUp": "The attempt failed, and the retry budget of this daemon was used up.",
	"Unreachable":       "No connection to a runner could be established; the request was not run.",
	"TimeIsOver":        "The deadline of the caller or the timeout of the route had passed.",
	"CallerLeft":        "The caller closed its connection.",
	"RunnerFailed":      "The runner responded with an error, which was forwarded to the caller.",
}

// describeEnd describes why a request ended, from its last line and its failed
// attempts.
func describeEnd(steps []Line) string {
	end := steps[len(steps)-1]
	if end.Event != "RequestEnded" {
		return fmt.Sprintf("The logs end with %s: the process stopped before the request ended, or the line of its end was dropped.", end.Event)
	}
	reason := end.text("Reason")
	text, known := reasonTexts[reason]
	if !known {
		text = "The reason " + reason + " is unknown to this version of the program."
	}
	if cause := end.text("Cause"); cause != "" {
		text += " Last failure: " + cause + "."
	}
	if attempts := countFailures(steps); attempts > 1 {
		text += fmt.Sprintf(" %d attempts failed.", attempts)
	}
	return text
}

func countFailures(steps []Line) int {
	count := 0
	for _, step := range steps {
		if step.Event == "AttemptFailed" {
			count++
		}
	}
	return count
}
