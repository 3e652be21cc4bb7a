package matrix

// configurationFaults has the faults of the rows that concern configurations.
var configurationFaults = map[Row]configurationFault{
	RowStoreDown:           func(c *configurationScript) { c.log.set(logRefuses) },
	RowStoreSlow:           func(c *configurationScript) { c.log.set(logHangsLate) },
	RowSilentConnection:    func(c *configurationScript) { c.log.set(logHangs) },
	RowEffectWithoutAnswer: func(c *configurationScript) { c.log.queue(logLosesAnswer) },
	RowHolderPaused:        (*configurationScript).pauseFirst,
	RowRacingOperators:     (*configurationScript).race,
	RowPeersCutOneWay:      func(c *configurationScript) { c.cut(c.second, c.first) },
	RowPeersCutBothWays: func(c *configurationScript) {
		c.cut(c.second, c.first)
		c.cut(c.first, c.second)
	},
	RowPlatformCutOneWay:   func(c *configurationScript) { c.first.log.setCut(cutAnswers) },
	RowPlatformCutBothWays: func(c *configurationScript) { c.first.log.setCut(cutBoth) },
	RowStoreDownAndDeath: func(c *configurationScript) {
		c.log.set(logRefuses)
		c.second.kill()
	},
	RowEffectAndPause: func(c *configurationScript) {
		c.pauseFirst()
		c.log.queue(logLosesAnswer)
	},
	RowCutAndRace: func(c *configurationScript) {
		c.cut(c.second, c.first)
		c.cut(c.first, c.second)
		c.first.log.setCut(cutBoth)
		c.race()
		c.first.log.setCut(cutNone)
	},
}

// pauseFirst keeps the first daemon from everything while two changes pass,
// and lets it go on with what it had.
func (c *configurationScript) pauseFirst() {
	c.first.setPaused(true)
	c.first.log.setCut(cutBoth)
	c.publish()
	c.publish()
	c.first.log.setCut(cutNone)
	c.first.setPaused(false)
}
