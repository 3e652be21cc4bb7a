package measure

import "math/rand/v2"

const (
	sharedPrompts  = 60
	sessions       = 300
	sessionTurns   = 8
	turnTokens     = 200
	taskTokens     = 50
	taggingTokens  = 300
	courseTokens   = 300
	questionTokens = 500
	// lateRepeats is the share of lesson plans that are sent again.
	lateRepeats = 0.05
	// keptPlans bounds the lesson plans that may be repeated.
	keptPlans = 200
)

// porchlightSource makes one call in two from a shared prompt and a short task
// of its own; the others are the turns of chat sessions. The session that has
// been idle for longest takes the next turn.
type porchlightSource struct {
	prompts
	shared   []text
	law      zipf
	sessions [sessions][]text
	turn     int
}

func newPorchlightSource(random *rand.Rand) source {
	s := &porchlightSource{
		prompts: prompts{random: random, seen: map[uint64]bool{}},
		law:     newZipf(sharedPrompts),
	}
	for range sharedPrompts {
		s.shared = append(s.shared, s.text(s.between(1500, 4000)))
	}
	for i := range s.sessions {
		for range random.IntN(sessionTurns) {
			s.sessions[i] = append(s.sessions[i], s.text(turnTokens))
		}
	}
	return s
}

// next implements source.
func (s *porchlightSource) next() *call {
	if s.random.IntN(2) == 0 {
		return s.call(sharedPrompt, s.shared[s.law.draw(s.random)], s.text(taskTokens))
	}
	session := &s.sessions[s.turn%sessions]
	s.turn++
	if len(*session) == sessionTurns {
		*session = nil
	}
	*session = append(*session, s.text(turnTokens))
	return s.call(chatTurn, *session...)
}

// trustSource makes one call in two from a lesson plan behind a shared prompt;
// the others are headteachers' questions.
type trustSource struct {
	prompts
	course text
	plans  []text
}

func newTrustSource(random *rand.Rand) source {
	s := &trustSource{prompts: prompts{random: random, seen: map[uint64]bool{}}}
	s.course = s.text(courseTokens)
	return s
}

// next implements source.
func (s *trustSource) next() *call {
	if s.random.IntN(2) == 0 {
		c := s.call(question, s.text(questionTokens))
		c.route.Priority = 1
		return c
	}
	return s.call(lessonPlan, s.course, s.plan())
}

// plan returns a lesson plan, now and then one that was sent before.
func (s *trustSource) plan() text {
	if len(s.plans) > 0 && s.random.Float64() < lateRepeats {
		return s.plans[s.random.IntN(len(s.plans))]
	}
	plan := s.text(s.between(2000, 6000) - courseTokens)
	if len(s.plans) < keptPlans {
		s.plans = append(s.plans, plan)
	} else {
		s.plans[s.random.IntN(keptPlans)] = plan
	}
	return plan
}
