package io.umberpath.control.store;

/**
 * One item of the store.
 *
 * @param key its key
 * @param value its value as text
 * @param revision the store's revision at its last change
 */
public record StoreItem(String key, String value, long revision) {}
