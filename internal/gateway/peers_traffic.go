package gateway

import (
	"time"

	"go.uber.org/zap"
)

// trafficReportInterval is how often calls to peers that got no response are summarised in the log.
const trafficReportInterval = 5 * time.Second

// reportTraffic logs the calls and bytes of the last interval if calls to peers got no response in it. It is called by
// run only.
func (p *peers) reportTraffic(now time.Time) {
	if p.traffic == nil || now.Sub(p.reportedAt) < trafficReportInterval {
		return
	}
	status := p.traffic.Status()
	news := status.Since(p.reported)
	interval := now.Sub(p.reportedAt)
	first := p.reportedAt.IsZero()
	p.reported, p.reportedAt = status, now
	if first || news.Failed() == 0 {
		return
	}
	p.log.Warn("calls to other daemons got no response", zap.Duration("interval", interval), zap.Any("calls", news.Calls),
		zap.Any("sent-bytes", news.SentBytes), zap.Int64("received-bytes", news.ReceivedBytes),
		zap.Int64("opened-connections", news.Opened), zap.Int64("given-up-connections", news.GivenUp))
}
