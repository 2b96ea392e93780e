package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	memoryCheck = 10 * time.Millisecond  // between two looks at a process's memory
	restartTime = 500 * time.Millisecond // until the platform starts a killed process again
	memoryStep  = 50                     // MB between two lines of the record
)

// watchMemory ends the process whenever it holds more memory than its machine has, as the platform
// does, and starts it again after a short delay.
func (m *machine) watchMemory(limitMB int) {
	go func() {
		noted := 0
		for {
			time.Sleep(memoryCheck)
			m.w.mu.Lock()
			stopping, cmd, exited := m.stopping, m.cmd, m.exited
			m.w.mu.Unlock()
			if stopping {
				return
			}
			held := residentMB(cmd.Process.Pid)
			if held/memoryStep > noted {
				noted = held / memoryStep
				m.w.note("%s holds %d MB", m.name, held)
			}
			if held <= limitMB {
				continue
			}
			m.w.note("%s holds %d MB, more than the %d MB of its machine: the platform kills it", m.name, held, limitMB)
			_ = cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
			<-exited
			noted = 0
			time.Sleep(restartTime)
			m.w.mu.Lock()
			m.kills++
			stopping = m.stopping
			m.w.mu.Unlock()
			if stopping {
				return
			}
			m.start()
		}
	}()
}

// residentMB returns the resident memory of a process of ours, without mapped files, in MB.
func residentMB(pid int) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}
