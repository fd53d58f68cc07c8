package daemon

import (
	"time"

	"github.com/zeromicro/go-zero/core/proc"
)

// shutdownMargin is the time after the grace period for closing connections.
const shutdownMargin = 10 * time.Second

// ExtendShutdown keeps go-zero from stopping the status listener and from
// killing the process before the grace period has passed. Its own limits are
// 1 s and 5.5 s after the signal.
func ExtendShutdown(grace time.Duration) {
	proc.Setup(proc.ShutdownConf{WrapUpTime: grace, WaitTime: grace + shutdownMargin})
}
