package measure

import "math/rand/v2"

const (
	sharedPromptCount = 60
	sessionCount      = 300
	turnsPerSession   = 8
	turnTokens        = 200
	taskTokens        = 50
	taggingTokens     = 300
	instructionTokens = 300
	questionTokens    = 500
	// repeatShare is the share of lesson plans that were sent before.
	repeatShare = 0.05
	// maxRepeatablePlans bounds the lesson plans that may be repeated.
	maxRepeatablePlans = 200
)

// porchlightSource generates half of the calls from a shared prompt and a short
// unique task; the other half are turns of chat sessions. The session that has been
// idle for longest takes the next turn.
type porchlightSource struct {
	promptGenerator
	shared     []segment
	popularity zipf
	sessions   [sessionCount][]segment
	turns      int
}

func newPorchlightSource(random *rand.Rand) source {
	s := &porchlightSource{
		promptGenerator: promptGenerator{random: random, seenBlocks: map[uint64]bool{}},
		popularity:      newZipf(sharedPromptCount),
	}
	for range sharedPromptCount {
		s.shared = append(s.shared, s.newSegment(s.randomBetween(1500, 4000)))
	}
	for i := range s.sessions {
		for range random.IntN(turnsPerSession) {
			s.sessions[i] = append(s.sessions[i], s.newSegment(turnTokens))
		}
	}
	return s
}

// next implements source.
func (s *porchlightSource) next() *call {
	if s.random.IntN(2) == 0 {
		return s.newCall(sharedPrompt, s.shared[s.popularity.draw(s.random)], s.newSegment(taskTokens))
	}
	session := &s.sessions[s.turns%sessionCount]
	s.turns++
	if len(*session) == turnsPerSession {
		*session = nil
	}
	*session = append(*session, s.newSegment(turnTokens))
	return s.newCall(chatTurn, *session...)
}

// trustSource generates half of the calls from shared instructions and a lesson
// plan; the other half are headteachers' questions, at a higher priority.
type trustSource struct {
	promptGenerator
	instructions segment
	lessonPlans  []segment
}

func newTrustSource(random *rand.Rand) source {
	s := &trustSource{promptGenerator: promptGenerator{random: random, seenBlocks: map[uint64]bool{}}}
	s.instructions = s.newSegment(instructionTokens)
	return s
}

// next implements source.
func (s *trustSource) next() *call {
	if s.random.IntN(2) == 0 {
		c := s.newCall(question, s.newSegment(questionTokens))
		c.route.Priority = 1
		return c
	}
	return s.newCall(lessonPlan, s.instructions, s.nextLessonPlan())
}

// nextLessonPlan returns a new lesson plan or, with a probability of repeatShare,
// one that was sent before.
func (s *trustSource) nextLessonPlan() segment {
	if len(s.lessonPlans) > 0 && s.random.Float64() < repeatShare {
		return s.lessonPlans[s.random.IntN(len(s.lessonPlans))]
	}
	plan := s.newSegment(s.randomBetween(2000, 6000) - instructionTokens)
	if len(s.lessonPlans) < maxRepeatablePlans {
		s.lessonPlans = append(s.lessonPlans, plan)
	} else {
		s.lessonPlans[s.random.IntN(maxRepeatablePlans)] = plan
	}
	return plan
}
