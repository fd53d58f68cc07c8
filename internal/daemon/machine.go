package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/rcrowley/go-metrics"

	"github.com/auburnyoke/auburnyoke/internal/frontend"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/budget"
)

// Range of the setting memory, in MiB.
const (
	minMemory = 64
	maxMemory = 1 << 20
)

// reservedDescriptors are kept from clients, for instances, other hosts and the platform;
// of many descriptors it is reservedShare.
const (
	reservedDescriptors = 128
	reservedShare       = 5
)

// startingShare is the share of the clients that need not be authenticated.
const startingShare = 4

// MemoryLimit returns the host's memory in bytes, or zero if it is not known.
func (s Settings) MemoryLimit() int64 {
	if s.Memory > 0 {
		return int64(s.Memory) << 20
	}
	return machineMemory()
}

// programMemory is the memory in bytes of the program's code and constant data, which the
// collector does not count.
const programMemory = 16 << 20

// HeapLimit returns the limit for the garbage collector in bytes, or zero for none.
func (s Settings) HeapLimit() int64 {
	memory := s.MemoryLimit()
	if memory <= 0 {
		return 0
	}
	return int64(float64(memory)*budget.HeapShare) - programMemory
}

// machineMemory returns the memory of the machine or of the control group, whichever is
// less, in bytes; zero if neither is known.
func machineMemory() int64 {
	var info syscall.Sysinfo_t
	least := int64(0)
	if syscall.Sysinfo(&info) == nil {
		least = int64(info.Totalram) * int64(info.Unit)
	}
	for _, file := range controlGroupFiles() {
		data, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		limit, err := strconv.ParseInt(string(bytes.TrimSpace(data)), 10, 64)
		if err == nil && limit > 0 && (least == 0 || limit < least) {
			least = limit
		}
	}
	return least
}

// controlGroupFiles returns the files that can hold the limit of the process's control group:
// of version 2, of version 2 in a namespace of its own, and of version 1.
func controlGroupFiles() []string {
	files := []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"}
	groups, err := os.ReadFile("/proc/self/cgroup")
	if err != nil {
		return files
	}
	for line := range strings.Lines(string(groups)) {
		if group, ok := strings.CutPrefix(strings.TrimSpace(line), "0::"); ok {
			files = append(files, filepath.Join("/sys/fs/cgroup", group, "memory.max"))
		}
	}
	return files
}

// limitClients returns the limits of clients that follow from the settings and from the
// descriptors that the process may open.
func limitClients(s Settings, descriptors int) frontend.Limits {
	limits := frontend.Limits{
		Sessions: s.Clients.Limit, Starting: s.Clients.Limit, AuthenticationTimeout: s.Clients.Timeout, Grace: s.Grace,
	}
	if descriptors > 0 {
		reserved := max(reservedDescriptors, descriptors/reservedShare) + maxStatusConns
		available := max(descriptors-reserved, startingShare)
		limits.Starting = min(limits.Starting, available/startingShare)
		limits.Sessions = min(limits.Sessions, available-limits.Starting)
	}
	return limits
}

// maxDescriptors returns the number of descriptors that the process may open, or zero if it
// is not known.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<30))
}

// registerBudget adds the metrics of the budget.
func registerBudget(b *budget.Budget, r metrics.Registry) {
	for name, value := range map[string]func() int64{
		"memory.limit":    func() int64 { return b.Limit },
		"memory.reserved": b.Used,
		"memory.ended":    func() int64 { ended, _ := b.Counts(); return ended },
		"memory.refused":  func() int64 { _, refused := b.Counts(); return refused },
	} {
		_ = r.Register(name, metrics.NewFunctionalGauge(value))
	}
}
