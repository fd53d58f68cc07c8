package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is memory_mb of the hosts' settings. A process that exceeds it is killed by
	// the platform, and started again after a short delay.
	memoryLimit = 284 << 20
	restartTime = 500 * time.Millisecond
	// faultEnds is the number of ends on each of faultMachines machines that is a fault.
	faultEnds, faultMachines = 3, 2
)

// memoryWatch does what the platform does with processes that exceed their memory.
type memoryWatch struct {
	installation *Installation
	stop         chan struct{}
	watches      sync.WaitGroup

	mu   sync.Mutex
	ends map[string]int
	most map[string]int64
}

// watchMemory kills and restarts the processes of hosts whose memory exceeds the limit.
func (i *Installation) watchMemory(hosts []*HostProcess) *memoryWatch {
	w := &memoryWatch{
		installation: i, stop: make(chan struct{}), ends: make(map[string]int), most: make(map[string]int64),
	}
	for _, h := range hosts {
		w.watches.Go(func() { w.watch(h) })
	}
	return w
}

func (w *memoryWatch) watch(h *HostProcess) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		resident, unread := h.resident(), h.unread()
		used := resident + unread
		w.mu.Lock()
		w.most[h.name] = max(w.most[h.name], used)
		w.mu.Unlock()
		if used <= memoryLimit {
			continue
		}
		w.installation.record.Event("%s uses %d MiB, %d of them received and not yet read: the platform ends it",
			h.name, used>>20, unread>>20)
		w.installation.Kill(h)
		w.mu.Lock()
		w.ends[h.name]++
		w.mu.Unlock()
		time.Sleep(restartTime)
		if err := w.installation.Start(h); err != nil {
			w.installation.record.Event("%v", err)
			return
		}
	}
}

// ended returns how often the process of a host was ended.
func (w *memoryWatch) ended(h *HostProcess) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ends[h.name]
}

// faults ends the watch and returns the number of machines on which processes ended too often,
// or zero if these are too few for a fault.
func (w *memoryWatch) faults(hosts []*HostProcess) int {
	close(w.stop)
	w.watches.Wait()
	record := w.installation.record
	machines := 0
	for _, h := range hosts {
		record.Event("%s: at most %d MiB, ended %d times", h.name, w.most[h.name]>>20, w.ends[h.name])
		if w.ends[h.name] >= faultEnds {
			machines++
		}
	}
	if machines < faultMachines {
		return 0
	}
	record.Event("Fault: processes ended %d times or more on %d of %d machines, without a disruption there",
		faultEnds, machines, len(w.installation.Hosts))
	return machines
}

// resident returns the resident memory of the host's process in bytes, or zero if it has ended.
func (h *HostProcess) resident() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.process().Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// unread returns the bytes that the kernel has received for the host's client connections and
// the process has not read yet.
func (h *HostProcess) unread() int64 {
	address, err := net.ResolveTCPAddr("tcp4", h.frontend)
	data, readErr := os.ReadFile("/proc/net/tcp")
	if err != nil || readErr != nil {
		return 0
	}
	ip := address.IP.To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port)
	sum := int64(0)
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		// The fields are the number, the local and the remote address, the state, of which 01
		// is an open connection, and the lengths of the send and receive queues.
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[1] != local || fields[3] != "01" {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(received, 16, 64); err == nil {
			sum += n
		}
	}
	return sum
}
