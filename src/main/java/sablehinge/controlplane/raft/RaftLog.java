package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A member's log in memory: its last snapshot and all entries after it, synced or not. */
final class RaftLog {

    /** Of one that has nothing yet, not even the founders' list. */
    private static final Snapshot NOTHING = new Snapshot(0, 0, List.of(), new byte[0]);

    private Snapshot base = NOTHING;
    private final List<Entry> entries = new ArrayList<>();
    /** Entries before the snapshot's end; only ever sent to others. */
    private final RecentEntries recent = new RecentEntries();
    /** Lists by the index of the entry that they came with; a list holds as soon as it is appended. */
    private final TreeMap<Long, List<Member>> memberLists = new TreeMap<>(Map.of(0L, List.of()));

    /** Whether not even the first list is known, so that only a snapshot can follow. */
    boolean isEmpty() {
        return base == NOTHING;
    }

    Snapshot base() {
        return base;
    }

    long lastIndex() {
        return base.index() + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    /** The term of the entry at an index from the snapshot's to the last, or one that is still kept. */
    long termAt(long index) {
        return index == base.index() ? base.term() : entry(index).term();
    }

    Entry entry(long index) {
        return index <= base.index() ? recent.entry(index) : entries.get((int) (index - base.index() - 1));
    }

    /** Whether entries from an index on, and the term of the one before it, are here. */
    boolean canReadFrom(long index) {
        return index > base.index() || recent.holds(index - 1);
    }

    /** Entries from an index on, up to both bounds, but at least one if there is any. */
    List<Entry> from(long index, int most, int mostBytes) {
        List<Entry> found = new ArrayList<>();
        long bytes = 0;
        for (long next = index; next <= lastIndex() && found.size() < most; next++) {
            Entry entry = entry(next);
            bytes += entry.data().length;
            if (!found.isEmpty() && bytes > mostBytes) {
                break;
            }
            found.add(entry);
        }
        return found;
    }

    void append(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException("entry " + entry.index() + " after " + lastIndex());
        }
        entries.add(entry);
        if (entry.kind() == Entry.Kind.MEMBERS) {
            memberLists.put(entry.index(), List.copyOf(MemberListCodec.read(entry.data())));
        }
    }

    /** Forgets all entries from an index on, and the lists that came with them. */
    void truncate(long from) {
        entries.subList((int) (from - base.index() - 1), entries.size()).clear();
        memberLists.tailMap(from, true).clear();
    }

    /** The latest list, committed or not. */
    List<Member> members() {
        return memberLists.lastEntry().getValue();
    }

    /** The index of the entry that the latest list came with. */
    long membersIndex() {
        return memberLists.lastKey();
    }

    boolean isVoter(long id) {
        return contains(members(), id);
    }

    /** Whether a member is in the list that holds at an index, from the snapshot's on. */
    boolean wasVoterAt(long id, long index) {
        Map.Entry<Long, List<Member>> list = memberLists.floorEntry(index);
        return list != null && contains(list.getValue(), id);
    }

    private static boolean contains(List<Member> list, long id) {
        for (Member member : list) {
            if (member.id() == id) {
                return true;
            }
        }
        return false;
    }

    /** Replaces all entries up to an index by a state. */
    void compact(long index, byte[] state) {
        Snapshot snapshot =
                new Snapshot(index, termAt(index), memberLists.floorEntry(index).getValue(), state);
        rebase(snapshot, (int) (index - base.index()));
    }

    /** Takes over another's snapshot; entries after it stay if the log holds the snapshot's last entry. */
    void install(Snapshot snapshot) {
        boolean follows = holdsEntry(snapshot.index(), snapshot.term());
        if (!follows) {
            memberLists.clear();
            recent.clear();
            entries.clear();
        }
        rebase(snapshot, follows ? (int) (snapshot.index() - base.index()) : 0);
    }

    /** Whether the entry of this index and term, or a snapshot that ends with it, is here. */
    boolean holdsEntry(long index, long term) {
        return index >= base.index() && index <= lastIndex() && termAt(index) == term;
    }

    private void rebase(Snapshot snapshot, int dropped) {
        base = snapshot;
        List<Entry> gone = entries.subList(0, dropped);
        recent.add(gone, snapshot.state().length);
        gone.clear();
        memberLists.headMap(snapshot.index(), true).clear();
        memberLists.put(snapshot.index(), snapshot.members());
    }
}
