package soak

import (
	"bytes"
	"encoding/binary"
	"net"
	"os"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// Kinds of cuts between entry VMs and targets; they are kinds of faults of the VMs.
const (
	// cutHang holds the bytes of all connections in both directions. A new connection is
	// established and its bytes are held, because a process on loopback can't leave a SYN
	// without an answer for some callers only. TCP keep-alive probes are answered. What a
	// caller sent before it closed its connection is delivered after the cut, as TCP
	// retransmits it.
	cutHang = "cut-hang"
	// cutReset resets open and new connections. A new one may be established and its first
	// bytes be sent before the reset arrives.
	cutReset = "cut-reset"
	// cutRefuse resets new connections as cutReset does; open ones live on.
	cutRefuse = "cut-refuse"
)

var cutKinds = []string{cutHang, cutReset, cutRefuse}

// isCut reports whether a kind of fault is a cut.
func isCut(kind string) bool { return slices.Contains(cutKinds, kind) }

// cut is a fault of the connections that some programs opened.
type cut struct {
	kind     string
	programs map[*program]bool
}

func (c *cut) holds(owner *program) bool  { return c.kind == cutHang && c.programs[owner] }
func (c *cut) resets(owner *program) bool { return c.kind == cutReset && c.programs[owner] }
func (c *cut) refuses(owner *program) bool {
	return (c.kind == cutReset || c.kind == cutRefuse) && c.programs[owner]
}

// cuts are the cuts of a link, which add up.
type cuts []*cut

func (l cuts) hold(owner *program) bool {
	return slices.ContainsFunc(l, func(c *cut) bool { return c.holds(owner) })
}

func (l cuts) refuse(owner *program) bool {
	return slices.ContainsFunc(l, func(c *cut) bool { return c.refuses(owner) })
}

// trackOwners lets the proxies in front of the targets find the owners of their
// connections, for cutFromTargets, and records when they reset one and which requests they hold back.
func (tb *testbed) trackOwners() {
	for _, host := range tb.targets {
		host.proxy.setOwner(tb.owner, func(owner *program) { tb.history.recordReset(owner.id) })
		host.proxy.setOnHold(func(bytes []byte) { tb.history.recordHeld(standin.RequestID(bytes)) })
	}
}

// cutFromTargets cuts entry VMs from the targets of a service, or from all if service is
// empty. The returned function ends the cut.
func (tb *testbed) cutFromTargets(kind, service string, entries ...*vm) (end func()) {
	c := &cut{kind: kind, programs: map[*program]bool{}}
	for _, e := range entries {
		c.programs[e.program] = true
	}
	var ends []func()
	for _, host := range tb.targets {
		if service == "" || host.service == service {
			ends = append(ends, host.proxy.addCut(c))
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// owner returns the entry VM's program that opened a connection. It returns nil if there
// is none, or if the program has closed the connection already.
func (tb *testbed) owner(caller *net.TCPConn) *program {
	inode, err := socketInode(caller.RemoteAddr(), caller.LocalAddr())
	if err != nil {
		tb.history.addViolation("owner of a connection: %v", err)
	}
	if inode == "" {
		return nil
	}
	for _, e := range tb.entries {
		if pid := e.pid(); pid != 0 && hasSocket(pid, inode) {
			return e.program
		}
	}
	return nil
}

// Constants and structures of linux/inet_diag.h and linux/sock_diag.h.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	anyCookie        = ^uint64(0)
	// inodeOffset is the position of the inode in the answer.
	inodeOffset = 68
)

// diagRequest is struct inet_diag_req_v2 with its header.
type diagRequest struct {
	header                syscall.NlMsghdr
	family, protocol      uint8
	_                     [2]uint8
	states                uint32
	localPort, remotePort [2]byte // big endian
	local, remote         [16]byte
	_                     uint32
	cookie                uint64
}

// socketInode returns the inode of the socket with a local and a remote IPv4 address of
// this machine, or "" if there is none. It asks the kernel for this socket: /proc/net/tcp
// lists all of the machine.
func socketInode(local, remote net.Addr) (string, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return "", errors.Trace(err)
	}
	defer func() { _ = syscall.Close(fd) }() // has no written data
	request := diagRequest{
		header: syscall.NlMsghdr{Type: sockDiagByFamily, Flags: syscall.NLM_F_REQUEST},
		family: syscall.AF_INET, protocol: syscall.IPPROTO_TCP, states: ^uint32(0),
		cookie: anyCookie,
	}
	request.localPort, request.local = diagAddress(local)
	request.remotePort, request.remote = diagAddress(remote)
	request.header.Len = uint32(binary.Size(request))
	var b bytes.Buffer
	if err := binary.Write(&b, binary.NativeEndian, request); err != nil {
		return "", errors.Trace(err)
	}
	if err := syscall.Sendto(fd, b.Bytes(), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return "", errors.Trace(err)
	}
	answer := make([]byte, os.Getpagesize())
	n, _, err := syscall.Recvfrom(fd, answer, 0)
	if err != nil {
		return "", errors.Trace(err)
	}
	return inodeOf(answer[:n])
}

// inodeOf returns the inode of a socket as an answer of the kernel states it, or "" if
// the answer is that there is no such socket or that no process has it open.
func inodeOf(answer []byte) (string, error) {
	messages, err := syscall.ParseNetlinkMessage(answer)
	if err != nil || len(messages) == 0 {
		return "", errors.Errorf("sock_diag: malformed answer: %v", err)
	}
	data := messages[0].Data
	switch kind := messages[0].Header.Type; {
	case kind == syscall.NLMSG_ERROR && len(data) >= 4:
		if errno := syscall.Errno(-int32(binary.NativeEndian.Uint32(data))); errno != syscall.ENOENT {
			return "", errors.Annotate(errno, "sock_diag")
		}
		return "", nil
	case kind != sockDiagByFamily || len(data) < inodeOffset+4:
		return "", errors.Errorf("sock_diag: answer of type %d with %d bytes", kind, len(data))
	}
	if inode := binary.NativeEndian.Uint32(data[inodeOffset:]); inode != 0 {
		return strconv.FormatUint(uint64(inode), 10), nil
	}
	return "", nil
}

func diagAddress(a net.Addr) (port [2]byte, ip [16]byte) {
	ap := a.(*net.TCPAddr).AddrPort()
	four := ap.Addr().Unmap().As4()
	copy(ip[:], four[:])
	binary.BigEndian.PutUint16(port[:], ap.Port())
	return port, ip
}

// hasSocket reports whether a process has a socket open.
func hasSocket(pid int, inode string) bool {
	folder := "/proc/" + strconv.Itoa(pid) + "/fd/"
	files, err := os.ReadDir(folder)
	if err != nil {
		return false // the process has exited
	}
	for _, f := range files {
		if link, err := os.Readlink(folder + f.Name()); err == nil && link == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// TestCutAffectsOnlyItsPrograms guards against cuts that reach connections of other
// programs or leave a cut program a path.
func TestCutAffectsOnlyItsPrograms(t *testing.T) {
	const cutIP, otherIP = "127.0.0.2", "127.0.0.3"
	cutProgram := &program{}
	p := startEchoProxy(t)
	p.setOwner(func(caller *net.TCPConn) *program {
		if caller.RemoteAddr().(*net.TCPAddr).IP.String() == cutIP {
			return cutProgram
		}
		return nil
	}, nil)
	for _, kind := range cutKinds {
		t.Run(kind, func(t *testing.T) {
			open, other := dialFrom(t, p, cutIP), dialFrom(t, p, otherIP)
			assert.Equal(t, exchange(t, open, time.Second), "ping")
			assert.Equal(t, exchange(t, other, time.Second), "ping")
			end := p.addCut(&cut{kind: kind, programs: map[*program]bool{cutProgram: true}})
			p.setState(linkState{}) // must not end the cut
			assert.Equal(t, exchange(t, other, time.Second), "ping")
			assert.Equal(t, exchange(t, dialFrom(t, p, otherIP), time.Second), "ping")
			later, err := dialer(cutIP).Dial("tcp", p.listener.Addr().String())
			if err == nil { // the reset may come before or after the dial has returned
				defer func() { _ = later.Close() }()
				_, _ = later.Write([]byte("ping"))
				assert.Equal(t, receive(later, 100*time.Millisecond), "")
			}
			if kind == cutRefuse {
				assert.Equal(t, exchange(t, open, time.Second), "ping")
			} else {
				_, _ = open.Write([]byte("ping"))
				assert.Equal(t, receive(open, 100*time.Millisecond), "")
			}
			end()
			assert.Equal(t, exchange(t, dialFrom(t, p, cutIP), time.Second), "ping")
			if kind == cutHang {
				assert.NilError(t, err)
				assert.Equal(t, receive(open, time.Second), "ping", "held bytes were not delivered afterwards")
				assert.Equal(t, receive(later, time.Second), "ping", "held bytes were not delivered afterwards")
			}
		})
	}
}

// TestCutsAddUp guards against a cut that ends or weakens another one of the same link.
func TestCutsAddUp(t *testing.T) {
	cutProgram := &program{}
	p := startEchoProxy(t)
	p.setOwner(func(*net.TCPConn) *program { return cutProgram }, nil)
	programs := map[*program]bool{cutProgram: true}
	open := dial(t, p)
	assert.Equal(t, exchange(t, open, time.Second), "ping")
	endHang := p.addCut(&cut{kind: cutHang, programs: programs})
	endRefuse := p.addCut(&cut{kind: cutRefuse, programs: programs})
	endOther := p.addCut(&cut{kind: cutHang, programs: programs})
	assert.Equal(t, exchange(t, open, 100*time.Millisecond), "")
	endOther()
	assert.Equal(t, receive(open, 100*time.Millisecond), "", "the end of one cut ended another one")
	endHang()
	assert.Equal(t, receive(open, time.Second), "ping")
	refused, err := dialer("127.0.0.1").Dial("tcp", p.listener.Addr().String())
	if err == nil { // the reset may come before or after the dial has returned
		defer func() { _ = refused.Close() }()
		assert.Equal(t, receive(refused, time.Second), "", "the end of other cuts ended this one")
	}
	endRefuse()
	assert.Equal(t, exchange(t, dial(t, p), time.Second), "ping")
}

// TestSocketOwner checks that the owner of a connection is found while it is open.
func TestSocketOwner(t *testing.T) {
	p := startEchoProxy(t)
	conn := dial(t, p)
	inode, err := socketInode(conn.LocalAddr(), conn.RemoteAddr())
	assert.NilError(t, err)
	assert.Assert(t, hasSocket(os.Getpid(), inode))
	assert.Assert(t, !hasSocket(os.Getppid(), inode))
	remote, err := socketInode(conn.RemoteAddr(), conn.LocalAddr())
	assert.NilError(t, err)
	assert.Assert(t, remote != inode, "both ends have the same inode")
	unknown := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9), Port: 1}
	inode, err = socketInode(unknown, conn.RemoteAddr())
	assert.NilError(t, err)
	assert.Equal(t, inode, "")
}
