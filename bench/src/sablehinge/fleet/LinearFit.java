package sablehinge.fleet;

import java.util.List;

/**
 * A straight line through points by least squares.
 *
 * @param slope growth of y for each 1 of x
 * @param start y at x = 0
 * @param fit the part of y's variance that the line explains, 0 to 1; 1 where y does not vary
 */
record LinearFit(double slope, double start, double fit) {

    /** A point. */
    record Point(double x, double y) {}

    /** Through two points or more, of which two differ in x. */
    static LinearFit through(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
        double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
        double xx = 0;
        double xy = 0;
        double yy = 0;
        for (Point point : points) {
            xx += (point.x - meanX) * (point.x - meanX);
            xy += (point.x - meanX) * (point.y - meanY);
            yy += (point.y - meanY) * (point.y - meanY);
        }
        if (xx == 0) {
            throw new IllegalArgumentException("a line needs two points that differ in x");
        }
        double slope = xy / xx;
        return new LinearFit(slope, meanY - slope * meanX, yy == 0 ? 1 : xy * xy / (xx * yy));
    }

    /** What the line says at x. */
    double at(double x) {
        return start + slope * x;
    }
}
