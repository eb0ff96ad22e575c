"""Who is served when there is too little room."""
