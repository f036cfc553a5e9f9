package stagepier.lab.scale.saturation;

/**
 * One measurement of a router that is kept busy.
 *
 * @param connections of clients; each asks again as soon as it is answered
 * @param valueBytes  of each answer
 * @param warmUp      seconds under load before the measured span
 * @param seconds     of the measured span
 * @param seed        of the keys that are asked for
 */
public record SaturationSetting(int connections, int valueBytes, int warmUp, int seconds, long seed) {}
