/**
 * Decides whether a configuration change is confirmed or rolled back, by the share of failed and refused responses. The
 * decisions are carried out elsewhere.
 */
package sablehinge.gateway.rollout;
