package matrix

// configurationFaults holds the faults that are injected into configuration changes.
var configurationFaults = map[Row]configurationFault{
	RowLogDown:             func(c *configurationScript) { c.log.setFault(logRefuses) },
	RowLogSlow:             func(c *configurationScript) { c.log.setFault(logHangsThenApplies) },
	RowSilentConnection:    func(c *configurationScript) { c.log.setFault(logHangs) },
	RowEffectWithoutAnswer: func(c *configurationScript) { c.log.queueFaults(logLosesAnswer) },
	RowHolderPaused:        (*configurationScript).pauseFirst,
	RowRacingOperators:     (*configurationScript).race,
	RowPeersCutOneWay:      func(c *configurationScript) { c.cut(c.second, c.first) },
	RowPeersCutBothWays: func(c *configurationScript) {
		c.cut(c.second, c.first)
		c.cut(c.first, c.second)
	},
	RowLogCutOneWay:   func(c *configurationScript) { c.first.log.setCut(cutAnswers) },
	RowLogCutBothWays: func(c *configurationScript) { c.first.log.setCut(cutBoth) },
	RowLogDownAndDeath: func(c *configurationScript) {
		c.log.setFault(logRefuses)
		c.second.kill()
	},
	RowEffectAndPause: func(c *configurationScript) {
		c.pauseFirst()
		c.log.queueFaults(logLosesAnswer)
	},
	RowCutAndRace: func(c *configurationScript) {
		c.cut(c.second, c.first)
		c.cut(c.first, c.second)
		c.first.log.setCut(cutBoth)
		c.race()
		c.first.log.setCut(cutNone)
	},
}

// pauseFirst pauses the first daemon while two changes are published, and lets it
// resume with its outdated state.
func (c *configurationScript) pauseFirst() {
	c.first.setPaused(true)
	c.first.log.setCut(cutBoth)
	c.publish()
	c.publish()
	c.first.log.setCut(cutNone)
	c.first.setPaused(false)
}
