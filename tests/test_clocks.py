from currantmast.clocks import ManualClock


def test_manual_clock_never_goes_back():
    """Guards against a test that moves decision time backwards unnoticed."""
    clock = ManualClock(start=5)
    clock.advance(-3)
    assert clock.now() == 5
    clock.advance(2)
    assert clock.now() == 7
