package peer

import (
	"net/http"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
	"github.com/cranberrywalk/cranberrywalk/peer/peerpb"
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// tokenUnit is the granularity to which queued tokens are rounded up in messages.
const tokenUnit = 64

func encodeSender(identity gossip.Identity, stamp timeline.Stamp) *peerpb.Sender {
	return &peerpb.Sender{
		Daemon:      identity.Daemon,
		Zone:        identity.Zone,
		Region:      identity.Region,
		Incarnation: identity.Incarnation,
		Wall:        stamp.Wall,
		Counter:     stamp.Counter,
	}
}

func decodeSender(sender *peerpb.Sender) (gossip.Identity, timeline.Stamp) {
	identity := gossip.Identity{
		Daemon:      sender.GetDaemon(),
		Zone:        sender.GetZone(),
		Region:      sender.GetRegion(),
		Incarnation: sender.GetIncarnation(),
	}
	return identity, timeline.Stamp{Wall: sender.GetWall(), Counter: sender.GetCounter()}
}

func encodeMessage(message gossip.Message) *peerpb.Digest {
	wall := message.Stamp.Wall
	digest := &peerpb.Digest{
		Sender:              encodeSender(message.Sender, message.Stamp),
		ConfigurationOffset: message.ConfigurationOffset,
		Draining:            message.Draining,
		NoticesHash:         message.NoticesHash,
		GroupHash:           message.GroupHash,
	}
	for _, known := range message.KnownVersions {
		if !message.Compact {
			digest.KnownReporters = append(digest.KnownReporters, uint32(known.Reporter))
		}
		digest.KnownAges = append(digest.KnownAges, age(wall, known.Version))
	}
	for _, report := range message.Reports {
		digest.Reports = append(digest.Reports, encodeReport(report, wall))
	}
	for _, summary := range message.Summaries {
		digest.Summaries = append(digest.Summaries, encodeSummary(summary))
	}
	for _, leaving := range message.Leaving {
		digest.Leaving = append(digest.Leaving, &peerpb.Leaving{
			Vm: leaving.VM, Deadline: milliseconds(leaving.Deadline), Expires: milliseconds(leaving.Expires),
		})
	}
	for _, suspect := range message.Suspects {
		digest.Suspects = append(digest.Suspects, &peerpb.Suspect{
			Fingerprint: suspect.Fingerprint, Reporter: suspect.Reporter,
			Crashes: uint32(suspect.Crashes), Expires: milliseconds(suspect.Expires),
		})
	}
	return digest
}

func decodeMessage(digest *peerpb.Digest) gossip.Message {
	identity, stamp := decodeSender(digest.GetSender())
	message := gossip.Message{
		Sender:              identity,
		Stamp:               stamp,
		ConfigurationOffset: digest.GetConfigurationOffset(),
		Draining:            digest.GetDraining(),
		NoticesHash:         digest.GetNoticesHash(),
		GroupHash:           digest.GetGroupHash(),
	}
	message.Compact = len(digest.GetKnownReporters()) == 0
	for i, age := range digest.GetKnownAges() {
		known := gossip.KnownVersion{
			Reporter: gossip.ID(valueAt(digest.GetKnownReporters(), i)),
			Version:  versionFromAge(stamp.Wall, age),
		}
		message.KnownVersions = append(message.KnownVersions, known)
	}
	for _, report := range digest.GetReports() {
		message.Reports = append(message.Reports, decodeReport(report, stamp.Wall))
	}
	for _, summary := range digest.GetSummaries() {
		message.Summaries = append(message.Summaries, decodeSummary(summary))
	}
	for _, leaving := range digest.GetLeaving() {
		message.Leaving = append(message.Leaving, gossip.Leaving{
			VM: leaving.GetVm(), Deadline: timeFromMilliseconds(leaving.GetDeadline()), Expires: timeFromMilliseconds(leaving.GetExpires()),
		})
	}
	for _, suspect := range digest.GetSuspects() {
		message.Suspects = append(message.Suspects, gossip.Suspect{
			Fingerprint: suspect.GetFingerprint(), Reporter: suspect.GetReporter(),
			Crashes: int(suspect.GetCrashes()), Expires: timeFromMilliseconds(suspect.GetExpires()),
		})
	}
	return message
}

func encodeReport(report gossip.Report, wall int64) *peerpb.Report {
	encoded := &peerpb.Report{Reporter: uint32(report.Reporter), Age: age(wall, report.Version)}
	if report.Base > 0 {
		encoded.Span = report.Version - report.Base
	}
	for _, load := range report.Loads {
		encoded.Backends = append(encoded.Backends, uint32(load.Backend))
		encoded.InFlight = append(encoded.InFlight, load.InFlight)
		encoded.Running = append(encoded.Running, load.Running)
		encoded.Queued = append(encoded.Queued, load.Queued)
		encoded.QueuedTokens = append(encoded.QueuedTokens, (load.QueuedTokens+tokenUnit-1)/tokenUnit)
		encoded.PrefillRates = append(encoded.PrefillRates, load.PrefillRate/gossip.PrefillUnit)
	}
	encoded.InFlight = omitZeros(encoded.InFlight)
	encoded.Running = omitZeros(encoded.Running)
	encoded.Queued = omitZeros(encoded.Queued)
	encoded.QueuedTokens = omitZeros(encoded.QueuedTokens)
	encoded.PrefillRates = omitZeros(encoded.PrefillRates)
	for _, demand := range report.Demands {
		encoded.Plans = append(encoded.Plans, uint32(demand.Plan))
		encoded.Rates = append(encoded.Rates, demand.Rate)
	}
	return encoded
}

func decodeReport(encoded *peerpb.Report, wall int64) gossip.Report {
	report := gossip.Report{Reporter: gossip.ID(encoded.GetReporter()), Version: versionFromAge(wall, encoded.GetAge())}
	if span := encoded.GetSpan(); span > 0 && span < report.Version {
		report.Base = report.Version - span
	}
	for i, backend := range encoded.GetBackends() {
		report.Loads = append(report.Loads, gossip.Load{
			Backend:      gossip.ID(backend),
			InFlight:     valueAt(encoded.GetInFlight(), i),
			Running:      valueAt(encoded.GetRunning(), i),
			Queued:       valueAt(encoded.GetQueued(), i),
			QueuedTokens: valueAt(encoded.GetQueuedTokens(), i) * tokenUnit,
			PrefillRate:  valueAt(encoded.GetPrefillRates(), i) * gossip.PrefillUnit,
		})
	}
	for i, plan := range encoded.GetPlans() {
		demand := gossip.PlanRate{Plan: gossip.ID(plan), Rate: valueAt(encoded.GetRates(), i)}
		report.Demands = append(report.Demands, demand)
	}
	return report
}

func encodeSummary(summary gossip.Summary) *peerpb.Summary {
	return &peerpb.Summary{
		Zone:         summary.Zone,
		Model:        summary.Model,
		Service:      summary.Service,
		Backends:     uint32(summary.Backends),
		Running:      uint32(summary.Running),
		Queued:       uint32(summary.Queued),
		QueuedTokens: uint32(summary.QueuedTokens),
	}
}

func decodeSummary(summary *peerpb.Summary) gossip.Summary {
	return gossip.Summary{
		Zone:         summary.GetZone(),
		Model:        summary.GetModel(),
		Service:      summary.GetService(),
		Backends:     int(summary.GetBackends()),
		Running:      int(summary.GetRunning()),
		Queued:       int(summary.GetQueued()),
		QueuedTokens: int(summary.GetQueuedTokens()),
	}
}

func encodeAnswer(answer Answer, sender *peerpb.Sender) *peerpb.AnswerReply {
	reply := &peerpb.AnswerReply{
		Sender:  sender,
		Outcome: answer.Outcome,
		Status:  uint32(answer.Status),
		Body:    answer.Body,

		RetryAfter: answer.RetryAfter.Milliseconds(),
	}
	switch answer.State {
	case Pending:
		reply.State = peerpb.AnswerState_PENDING
	case Final:
		reply.State = peerpb.AnswerState_FINAL
	}
	for name, values := range answer.Header {
		for _, value := range values {
			reply.Headers = append(reply.Headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	return reply
}

func decodeAnswer(reply *peerpb.AnswerReply) Answer {
	answer := Answer{
		State:   NotFound,
		Outcome: reply.GetOutcome(),
		Status:  int(reply.GetStatus()),
		Header:  make(http.Header),
		Body:    reply.GetBody(),

		RetryAfter: time.Duration(reply.GetRetryAfter()) * time.Millisecond,
	}
	switch reply.GetState() {
	case peerpb.AnswerState_PENDING:
		answer.State = Pending
	case peerpb.AnswerState_FINAL:
		answer.State = Final
	}
	for _, header := range reply.GetHeaders() {
		answer.Header.Add(header.GetName(), header.GetValue())
	}
	return answer
}

// age encodes a version as its age at wall, the sender's time in milliseconds.
// Version 0 is decoded as 0 again.
func age(wall int64, version uint64) int64 { return wall - int64(version) }

// versionFromAge is the inverse of age.
func versionFromAge(wall, age int64) uint64 { return uint64(max(wall-age, 0)) }

// valueAt returns the i-th value of a column, or 0 when omitZeros has omitted it.
func valueAt(column []uint32, i int) uint32 {
	if i < len(column) {
		return column[i]
	}
	return 0
}

// omitZeros returns nil for a column that holds zeros only, to save its bytes.
func omitZeros(column []uint32) []uint32 {
	if slices.ContainsFunc(column, func(value uint32) bool { return value != 0 }) {
		return column
	}
	return nil
}

// milliseconds returns the Unix time in milliseconds, or 0 for the zero time.
func milliseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// timeFromMilliseconds is the inverse of milliseconds.
func timeFromMilliseconds(milliseconds int64) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds).UTC()
}
