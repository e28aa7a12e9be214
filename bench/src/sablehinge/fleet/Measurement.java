package sablehinge.fleet;

/**
 * One figure of a run.
 *
 * @param size sidecars of the fleet, hollow ones included
 * @param phase what went on: start, calm, change, load, churn, leader
 * @param role whose figure it is: leader, voter, sidecar, hollow, fleet
 */
record Measurement(int size, String phase, String role, String metric, String unit, double value) {

    /** What it has in common with the same figure of other sizes. */
    String name() {
        return phase + "." + role + "." + metric;
    }
}
