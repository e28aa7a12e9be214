/** The scenario file of the stand-ins: tiers, classes, faults. */
package sablehinge.tools.standin.scenario;
