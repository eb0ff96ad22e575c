"""Entry instance of the wisteriarock query tier."""
