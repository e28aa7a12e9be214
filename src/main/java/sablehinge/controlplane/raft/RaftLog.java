package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The log of a member in memory: the latest snapshot and all entries after it, synced or not. */
final class RaftLog {

    /** The base of a log that holds nothing yet, not even the list of founders. */
    private static final Snapshot EMPTY_SNAPSHOT = new Snapshot(0, 0, List.of(), new byte[0]);

    private Snapshot base = EMPTY_SNAPSHOT;
    private final List<Entry> entries = new ArrayList<>();
    /** Entries that the snapshot covers; they are only sent to peers. */
    private final RecentEntries recent = new RecentEntries();
    /** Member lists by the index of their entry; a list is in effect as soon as it is appended. */
    private final TreeMap<Long, List<Member>> memberLists = new TreeMap<>(Map.of(0L, List.of()));

    /** Whether the log holds nothing, not even the first member list, so that it can only install a snapshot. */
    boolean isEmpty() {
        return base == EMPTY_SNAPSHOT;
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

    /** The term of the entry at an index between the snapshot's and the last, or of a retained older entry. */
    long termAt(long index) {
        return index == base.index() ? base.term() : entry(index).term();
    }

    Entry entry(long index) {
        return index <= base.index() ? recent.entry(index) : entries.get((int) (index - base.index() - 1));
    }

    /** Whether the log has all entries from an index on, and the term of the entry before that index. */
    boolean canReadFrom(long index) {
        return index > base.index() || recent.contains(index - 1);
    }

    /** Entries from an index on, within both limits, but at least one entry if there is any. */
    List<Entry> entriesFrom(long index, int maxEntries, int maxBytes) {
        List<Entry> result = new ArrayList<>();
        long bytes = 0;
        for (long next = index; next <= lastIndex() && result.size() < maxEntries; next++) {
            Entry entry = entry(next);
            bytes += entry.data().length;
            if (!result.isEmpty() && bytes > maxBytes) {
                break;
            }
            result.add(entry);
        }
        return result;
    }

    void append(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "entry " + entry.index() + " does not follow the last entry " + lastIndex());
        }
        entries.add(entry);
        if (entry.kind() == Entry.Kind.MEMBERS) {
            memberLists.put(entry.index(), List.copyOf(MemberListCodec.read(entry.data())));
        }
    }

    /** Removes all entries from an index on, and their member lists. */
    void truncate(long from) {
        entries.subList((int) (from - base.index() - 1), entries.size()).clear();
        memberLists.tailMap(from, true).clear();
    }

    /** The latest member list, committed or not. */
    List<Member> members() {
        return memberLists.lastEntry().getValue();
    }

    /** The index of the entry of the latest member list. */
    long membersIndex() {
        return memberLists.lastKey();
    }

    boolean isVoter(long id) {
        return contains(members(), id);
    }

    /** Whether a member is in the list that is in effect at an index, which is not before the snapshot's. */
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

    /** Replaces all entries up to an index by a snapshot of the state. */
    void compact(long index, byte[] state) {
        Snapshot snapshot =
                new Snapshot(index, termAt(index), memberLists.floorEntry(index).getValue(), state);
        rebase(snapshot, (int) (index - base.index()));
    }

    /** Installs a snapshot of another replica; later entries remain if the log has the snapshot's last entry. */
    void install(Snapshot snapshot) {
        boolean matches = containsEntry(snapshot.index(), snapshot.term());
        if (!matches) {
            memberLists.clear();
            recent.clear();
            entries.clear();
        }
        rebase(snapshot, matches ? (int) (snapshot.index() - base.index()) : 0);
    }

    /** Whether the log has the entry with this index and term, or a snapshot that ends with it. */
    boolean containsEntry(long index, long term) {
        return index >= base.index() && index <= lastIndex() && termAt(index) == term;
    }

    private void rebase(Snapshot snapshot, int compactedCount) {
        base = snapshot;
        List<Entry> compacted = entries.subList(0, compactedCount);
        recent.add(compacted, snapshot.state().length);
        compacted.clear();
        memberLists.headMap(snapshot.index(), true).clear();
        memberLists.put(snapshot.index(), snapshot.members());
    }
}
