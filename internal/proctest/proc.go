package proctest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Proc is one process of a site.
type Proc struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// StartStandin starts the platform and the upstreams.
func (s *Site) StartStandin() *Proc { return s.start("standin", "catkin-standin", nil) }

// StartEntry starts the entry of instance i.
func (s *Site) StartEntry(i int) *Proc {
	return s.start(fmt.Sprintf("entry-%d", i), "catkin-entry", s.opt.EntryArgs)
}

// StartAgent starts the agent of instance i.
func (s *Site) StartAgent(i int) *Proc {
	return s.start(fmt.Sprintf("agent-%d", i), "catkin-agent", s.opt.AgentArgs)
}

// Entry returns the newest process of instance i's entry.
func (s *Site) Entry(i int) *Proc { return s.proc(fmt.Sprintf("entry-%d", i)) }

// Agent returns the newest process of instance i's agent.
func (s *Site) Agent(i int) *Proc { return s.proc(fmt.Sprintf("agent-%d", i)) }

func (s *Site) proc(name string) *Proc {
	s.procLock.Lock()
	defer s.procLock.Unlock()
	return s.procs[name]
}

func (s *Site) start(name, bin string, args []string) *Proc {
	s.t.Helper()
	args = append([]string{"-settings", filepath.Join(s.dir, name+".json")}, args...)
	cmd := exec.Command(filepath.Join(s.bin, bin), args...)
	cmd.Stderr = os.Stderr
	// A group of its own: the kernel sends SIGHUP to a group that loses its
	// last parent outside while a member is paused.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	p := &Proc{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	s.procLock.Lock()
	defer s.procLock.Unlock()
	s.procs[name] = p
	return p
}

// PID returns the process ID.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once, and waits for its end.
func (p *Proc) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Pause stops the process until Resume.
func (p *Proc) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Proc) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks for a planned stop, and does not wait for it.
func (p *Proc) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Stop asks for a planned stop, and returns how the process ended. A process
// that is still running after the timeout is killed.
func (p *Proc) Stop(timeout time.Duration) error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("process %d did not stop within %v", p.PID(), timeout)
	}
}

func (s *Site) stopAll() {
	s.procLock.Lock()
	defer s.procLock.Unlock()
	for _, p := range s.procs {
		p.Kill()
	}
}
