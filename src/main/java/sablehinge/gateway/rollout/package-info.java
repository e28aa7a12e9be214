/**
 * Decides whether a change of the configuration is kept or undone, by the share of answers that failed. It decides
 * only.
 */
package sablehinge.gateway.rollout;
