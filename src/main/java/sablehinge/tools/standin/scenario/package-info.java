/** The scenario file of the stand-in servers: tiers, request classes and faults. */
package sablehinge.tools.standin.scenario;
