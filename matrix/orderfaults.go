package matrix

// orderFaults holds the faults that are injected into orders. Rows that are missing
// here have no case or cannot occur.
var orderFaults = map[Row]orderFault{
	RowLogDown: func(o *orderScript) action {
		o.log.setFault(logRefuses)
		return proceed
	},
	RowLogSlow: func(o *orderScript) action {
		o.log.setFault(logHangsThenApplies)
		return proceed
	},
	RowEffectWithoutAnswer: func(o *orderScript) action {
		o.log.queueFaults(logLosesAnswer)
		return abort
	},
	RowSilentConnection: func(o *orderScript) action {
		if o.step == StepLease {
			o.log.setFault(logHangs)
		}
		return hang
	},
	RowHolderPaused:   func(o *orderScript) action { return o.pauseHolder(proceed) },
	RowLogCutOneWay:   func(o *orderScript) action { return o.cutHolder(cutAnswers) },
	RowLogCutBothWays: func(o *orderScript) action { return o.cutHolder(cutBoth) },
	RowLogDownAndDeath: func(o *orderScript) action {
		o.log.setFault(logRefuses)
		if o.step != StepReconcile {
			o.killFirst()
		}
		return proceed
	},
	RowEffectAndPause: func(o *orderScript) action {
		o.log.queueFaults(logLosesAnswer)
		return o.pauseHolder(abort)
	},
	RowDeathInReclaim: func(o *orderScript) action {
		if o.step != StepReconcile {
			o.killFirst()
		}
		return abort
	},
}

// holder returns the daemon that runs the step.
func (o *orderScript) holder() *node {
	if o.step == StepReconcile {
		return o.second
	}
	return o.first
}

// pauseHolder cuts the daemon of the step off from the log until its lease has
// expired and, unless it is the last live daemon, another one has sent orders. The
// daemon then continues in the middle of the step.
func (o *orderScript) pauseHolder(then action) action {
	o.holder().log.setCut(cutBoth)
	if o.step == StepReconcile {
		for range 300 {
			o.Clock.Advance(clockStep)
		}
	} else {
		o.record.expect(o.await(func() bool { return o.hasOrdered(o.second) }), "the second daemon did not take over the duty")
	}
	o.holder().log.setCut(cutNone)
	return then
}

func (o *orderScript) cutHolder(cut logCut) action {
	o.holder().log.setCut(cut)
	return proceed
}

// hasOrdered reports whether a daemon has started to send an order.
func (o *orderScript) hasOrdered(n *node) bool {
	ordered := false
	o.record.update(func() {
		for _, order := range o.record.Orders {
			ordered = ordered || order.Daemon == n.name
		}
	})
	return ordered
}
