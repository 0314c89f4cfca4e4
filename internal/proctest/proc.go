package proctest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Proc is a process of a site.
type Proc struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// StartStandin starts the process that simulates the platform and the upstreams.
func (s *Site) StartStandin() *Proc { return s.startProc("standin", "catkin-standin", nil) }

// StartEntry starts the entry of instance i.
func (s *Site) StartEntry(i int) *Proc {
	return s.startProc(fmt.Sprintf("entry-%d", i), "catkin-entry", s.opt.EntryArgs)
}

// StartAgent starts the agent of instance i.
func (s *Site) StartAgent(i int) *Proc {
	return s.startProc(fmt.Sprintf("agent-%d", i), "catkin-agent", s.opt.AgentArgs)
}

// Entry returns the process last started for instance i's entry.
func (s *Site) Entry(i int) *Proc { return s.proc(fmt.Sprintf("entry-%d", i)) }

// Agent returns the process last started for instance i's agent.
func (s *Site) Agent(i int) *Proc { return s.proc(fmt.Sprintf("agent-%d", i)) }

func (s *Site) proc(name string) *Proc {
	s.procsMu.Lock()
	defer s.procsMu.Unlock()
	return s.procs[name]
}

func (s *Site) startProc(name, bin string, args []string) *Proc {
	s.t.Helper()
	args = append([]string{"-settings", filepath.Join(s.dir, name+".json")}, args...)
	cmd := exec.Command(filepath.Join(s.bin, bin), args...)
	cmd.Stderr = os.Stderr
	// Each process has its own process group: the kernel sends SIGHUP to a
	// group that becomes orphaned while one of its members is stopped.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	p := &Proc{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	s.procsMu.Lock()
	defer s.procsMu.Unlock()
	s.procs[name] = p
	return p
}

// PID returns the process ID.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Proc) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Pause sends SIGSTOP, which suspends the process until Resume.
func (p *Proc) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume sends SIGCONT, which continues a suspended process.
func (p *Proc) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which starts a graceful stop, and does not wait for
// the process to end.
func (p *Proc) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Stop sends SIGTERM, which starts a graceful stop, and returns the exit error
// of the process. A process that is still running after the timeout is killed.
func (p *Proc) Stop(timeout time.Duration) error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("process %d did not stop within %v of SIGTERM; killed", p.PID(), timeout)
	}
}

func (s *Site) stopAll() {
	s.procsMu.Lock()
	defer s.procsMu.Unlock()
	for _, p := range s.procs {
		p.Kill()
	}
}
