package config

import (
	"fmt"
	"testing"
)

func digests(n int) []KeyDigest {
	out := make([]KeyDigest, n)
	for i := range out {
		out[i] = DigestOf(fmt.Sprint("key-", i))
	}
	return out
}

// Guards against a change of one key that sends all keys of a large workspace to every node.
func TestChangeOfOneKeyIsSmall(t *testing.T) {
	const most = 10 << 10 // bytes
	for _, n := range []int{1, MaxKeys, MaxKeys + 1, 1000, 40_000} {
		all := digests(n + 1)
		version := func(number uint64, keys []KeyDigest) *Snapshot {
			s, err := Succeed(nil, number, EncodeKeys(Workspace{Name: "harbour", Team: "t"}, keys))
			if err != nil || s.DecodeError() != nil {
				t.Fatal(err, s.DecodeError())
			}
			return s
		}
		before, after := version(1, all[:n]), version(2, append(all[:n-1:n-1], all[n]))
		d := after.Since(before)
		size := 0
		for _, o := range d.Set {
			size += len(o.Raw)
		}
		if size > most {
			t.Errorf("%d keys: the change of one takes %d bytes", n, size)
		}
		// Nodes that are sent the change, without the typed forms, come to the same version.
		for i := range d.Set {
			d.Set[i].typed = nil
		}
		there, err := d.Patch(before)
		if err != nil {
			t.Fatal(err)
		}
		for i, key := range []string{fmt.Sprint("key-", n-1), fmt.Sprint("key-", n)} {
			if w := there.Keyring().Holder(key); (w != nil) != (i == 1) {
				t.Errorf("%d keys: %s is held by %v", n, key, w)
			}
		}
		if n > 1 && there.Keyring().Holder("key-0") == nil {
			t.Errorf("%d keys: another key is lost", n)
		}
	}
}
