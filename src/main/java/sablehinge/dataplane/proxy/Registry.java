package sablehinge.dataplane.proxy;

/** The source of server lists, which it passes to {@link RequestProxy#onRosterChanged}. */
public interface Registry {

    /** Fetches the complete list once. */
    void fetch();

    /** Starts or restarts watching for changes, or stops it. */
    void watch(boolean enabled);
}
