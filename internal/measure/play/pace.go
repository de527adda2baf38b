package play

import (
	"math/rand/v2"
	"time"
)

// percent is the slowness in percent of a server that is as fast as usual.
const percent = 100

// serverPace is how slow a server is over time. It is drawn ahead of the requests, so that it is the same under every policy.
type serverPace struct {
	rng    *rand.Rand
	pace   *Pace
	factor float64
	// momentBegin and momentEnd bound the current or next slow moment.
	momentBegin, momentEnd time.Time
}

func newServerPace(fleet Fleet, index int, seed uint64) *serverPace {
	p := &serverPace{rng: rand.New(rand.NewPCG(seed, uint64(index)+3)), pace: fleet.Pace, factor: 1}

	if p.pace == nil {
		return p
	}

	if float64(index) < p.pace.SlowShare*float64(fleet.Servers) {
		p.factor = p.pace.SlowFactor
	}

	p.drawMoment(startTime)

	return p
}

// drawMoment draws the first slow moment after the given time.
func (p *serverPace) drawMoment(after time.Time) {
	if p.pace.MomentShare == 0 {
		p.momentBegin = after.Add(time.Hour)
		p.momentEnd = p.momentBegin

		return
	}

	meanPause := float64(p.pace.MomentLength) * (1 - p.pace.MomentShare) / p.pace.MomentShare
	p.momentBegin = after.Add(time.Duration(p.rng.ExpFloat64() * meanPause))
	p.momentEnd = p.momentBegin.Add(p.pace.MomentLength)
}

// slowness returns how long work takes at a time, by the usual time. The times of the calls must not decrease.
func (p *serverPace) slowness(now time.Time) float64 {
	if p.pace == nil {
		return p.factor
	}

	for !now.Before(p.momentEnd) {
		p.drawMoment(p.momentEnd)
	}

	if now.Before(p.momentBegin) {
		return p.factor
	}

	return p.factor * p.pace.MomentFactor
}
