package proxy

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/lineage"
	"github.com/marlpass/marlpass/internal/retry"
)

// headerRoot is, between nodes, the root of a nested call. In the native dialect it also names the
// running call to a backend server, which may pass it on with the calls that it makes. That value
// states nothing about the root, so that no backend server learns the workspace of another's caller.
const headerRoot = "Marlpass-Root"

// callRoot is the root of a nested call; known is false for all other calls.
type callRoot struct {
	lineage.Root
	known bool
}

// encode encodes r for another node.
func (r *callRoot) encode(now time.Time) string {
	retried := int64(0)
	if r.Retried {
		retried = 1
	}
	b := make([]byte, 0, 64)
	for _, n := range []int64{int64(r.Priority), int64(r.ClassPriority), retried, r.Deadline.Sub(now).Milliseconds()} {
		b = append(strconv.AppendInt(b, n, 10), ' ')
	}
	b = append(append(b, escapeName(r.Class)...), ' ')
	if r.Workspace != "" {
		b = append(b, escapeName(r.Workspace)...)
	}
	return string(b)
}

// parseRoot decodes the result of encode. The root is not known if s is malformed: the call then has
// the priority of its class.
func parseRoot(now time.Time, s string) callRoot {
	if s == "" {
		return callRoot{}
	}
	fields := strings.Split(s, " ")
	if len(fields) != 6 {
		return callRoot{}
	}
	class, ok1 := unescapeName(fields[4])
	workspace, ok2 := unescapeName(fields[5])
	if !ok1 || !ok2 && fields[5] != "" {
		return callRoot{}
	}
	priority, err1 := strconv.Atoi(fields[0])
	classPriority, err2 := strconv.Atoi(fields[1])
	retried, err3 := strconv.ParseBool(fields[2])
	left, err4 := strconv.ParseInt(fields[3], 10, 64)
	if errors.Join(err1, err2, err3, err4) != nil || !validPriority(priority) || !validPriority(classPriority) {
		return callRoot{}
	}
	const most = int64(maxDeadline / time.Millisecond)
	left = min(max(left, -most), most)
	return callRoot{known: true, Root: lineage.Root{
		Class: class, Workspace: workspace, Priority: priority, ClassPriority: classPriority,
		Deadline: now.Add(time.Duration(left) * time.Millisecond), Retried: retried,
	}}
}

func validPriority(p int) bool { return p >= config.MinPriority && p <= config.MaxPriority }

// findRoot finds the root of a call that may be nested. A call with a key has its own workspace, and
// is the root of its chain.
func (e *Entry) findRoot(c *entryCall, internal bool) {
	if !c.hasWorkspaces || e.Local == nil || e.Local.Lineage == nil || e.Dialect.Workspace(c.r.Header) != "" {
		return
	}
	t := e.Local.Lineage
	if internal {
		if named := first(c.r.Header, headerRoot); named != "" {
			if c.root.Root, c.root.known = t.Named(named); c.root.known {
				return
			}
		}
	}
	c.root.Root, c.root.known = t.Root(c.start, c.target.Name, internal || e.returning.oneShot(c.target.Name))
}

// caller returns on whose behalf a call is made: the root's caller for a nested call, otherwise the
// workspace that the entry node derived from the caller's key, with its priority. A node that is a
// version behind may not have the workspace yet; its calls then have the priority of their class.
func (d *Destination) caller(in *inbound) limit.Caller {
	keys := d.Programs.Program().Keys
	if keys == nil {
		return limit.Caller{}
	}
	name := d.Dialect.Workspace(in.header)
	if name == "" && in.root.known {
		return limit.Caller{Workspace: in.root.Workspace, Priority: in.root.Priority, ClassPriority: in.root.ClassPriority}
	}
	if w := keys.Named(name); w != nil {
		return limit.Caller{Workspace: name, Priority: w.Priority}
	}
	return limit.Caller{Workspace: name}
}

// beginLineage records a call that is about to be sent to its backend server. It adds the header by
// which the backend server may name the call.
func (d *Destination) beginLineage(now time.Time, in *inbound, h *execution, extra *AttemptHeaders) {
	if d.Lineage == nil || d.Programs.Program().Keys == nil {
		return
	}
	retried := first(in.header, retry.HeaderRetried) != ""
	root := in.root.Root
	if !in.root.known {
		caller := d.caller(in)
		root = lineage.Root{Class: h.target.Name, Workspace: caller.Workspace, Priority: caller.Priority, ClassPriority: h.target.PriorityOrDefault(), Deadline: in.deadline}
		if root.Priority == 0 {
			root.Priority = root.ClassPriority
		}
	}
	root.Retried = root.Retried || retried
	h.lineage = d.Lineage
	h.lineageToken = d.Lineage.Begin(now, lineage.Call{Class: h.target.Name, Root: root})
	if _, native := d.Dialect.(ownDialect); native {
		extra[len(extra)-1] = Header{headerRoot, d.Lineage.Header(h.lineageToken)}
	}
}

// endLineage records the end of a call that was sent to its backend server.
func (h *execution) endLineage(now time.Time) {
	if h.lineage != nil {
		h.lineage.End(now, h.lineageToken)
		h.lineage = nil
	}
}

// setRoot sets or removes the root of a call for another node.
func setRoot(header http.Header, now time.Time, r *callRoot) {
	delete(header, headerRoot)
	if r.known {
		header[headerRoot] = []string{r.encode(now)}
	}
}
