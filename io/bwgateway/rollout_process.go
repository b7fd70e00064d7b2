package bwgateway

import (
	"context"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwrollout"
)

// addRollouts adds the rollouts if the settings have their limits.
func (prc *Process) addRollouts(pool *bwforward.Pool) {
	sts := prc.cfg.Settings
	prc.rollouts = NewRollouts(RolloutsConfig{
		Limits:     bwrollout.Limits{Share: sts.ExposureShare, Slack: sts.ExposureSlack, RollbackTime: sts.RollbackTime},
		Member:     bwmodel.MemberID(sts.Member),
		Pool:       pool,
		View:       prc.state.View,
		SendReport: func(rep RolloutReport, holders []bwforward.PermitHolder) { prc.peers.SendRolloutReport(rep, holders) },
		SendNote:   func(nt RollbackNote) { prc.peers.SendRollbackNote(nt) },
		Metrics:    prc.metrics,
		Log:        prc.cfg.Log,
	})
	prc.state.cfg.Rollouts = prc.rollouts
}

// receiveReport and receiveNote pass on the datagrams about rollouts.
func (prc *Process) receiveReport(rep RolloutReport) {
	prc.rollouts.ReceiveReport(context.Background(), rep)
}

func (prc *Process) receiveNote(nt RollbackNote) {
	prc.rollouts.ReceiveNote(context.Background(), nt)
}
