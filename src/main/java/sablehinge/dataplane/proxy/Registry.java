package sablehinge.dataplane.proxy;

/** Where the list of servers comes from; what it brings goes to {@link RequestProxy#onRosterChanged}. */
public interface Registry {

    /** Requests the complete list once. */
    void fetch();

    /** Begins to watch for changes, anew if it does so already, or ends that. */
    void watch(boolean on);
}
