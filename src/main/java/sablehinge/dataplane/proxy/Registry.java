package sablehinge.dataplane.proxy;

/** Where the list of servers comes from; what it brings is told to {@link RequestProxy#told}. */
public interface Registry {

    /** Asks once for the whole list. */
    void fetch();

    /** Begins to watch for changes, anew if it does so already, or ends that. */
    void watch(boolean on);
}
