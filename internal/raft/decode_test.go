package raft_test

import (
	"bytes"
	"testing"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/raft"
)

// FuzzDecodeMessages guards against a panic of the decoder or the node on
// malformed messages, and against an encoding that is not deterministic.
func FuzzDecodeMessages(f *testing.F) {
	config := raft.Configuration{Members: []raft.Member{{ID: "a#1", Host: "a"}, {ID: "b#1", Host: "b"}}}
	data, err := raft.EncodeMessages([]raft.Message{
		{Type: raft.MsgAppend, From: "b#1", To: "a#1", Term: 2, Commit: 1, Entries: []raft.Entry{{Index: 1, Term: 2}}},
		{Type: raft.MsgVote, From: "b#1", To: "a#1", Term: 3, Index: 1, LogTerm: 2},
		{Type: raft.MsgSnapshot, From: "b#1", To: "a#1", Term: 3, Snapshot: &raft.SnapshotMeta{Index: 9, Term: 3, Config: config}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		messages, err := raft.DecodeMessages(data)
		if err != nil {
			if fault.CodeOf(err) != fault.CodeCorrupt {
				t.Fatal(err)
			}
			return
		}
		again, err := raft.EncodeMessages(messages)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := raft.DecodeMessages(again); err != nil || len(decoded) != len(messages) {
			t.Fatalf("second decoding differs: %v", err)
		}
		if third, _ := raft.EncodeMessages(messages); !bytes.Equal(again, third) {
			t.Fatal("the encoding is not deterministic")
		}
		n, err := raft.New(raft.Options{ID: "a#1", Snapshot: raft.SnapshotMeta{Config: config}})
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range messages {
			n.Step(m)
			if rd, ok := n.Ready(); ok {
				n.Advance(rd)
			}
		}
	})
}
